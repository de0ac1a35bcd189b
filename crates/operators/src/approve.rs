//! Approval and rollback: one compare-and-swap on the manifest.

use crate::layout::{MANIFEST_KEY, audit_key, section_key};
use crate::source::{Current, SourceError, current, load_content, load_record};
use damaskweir_bundle::{
    Action, Content, KeyChange, Manifest, ManifestError, PublicKey, Record, SecretKey,
};
use damaskweir_core::prelude::*;
use damaskweir_core::retry::Backoff;
use damaskweir_store::{Client, Compare, KeyValue, Op, OpResponse, StoreError, Txn, WriteEffect};
use rand_core::SeedableRng;
use std::collections::BTreeSet;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Bytes of sections in one transaction; etcd's default limit of a request is 1.5 MiB.
const BATCH_BYTES: usize = 1_000_000;
/// Sections in one transaction.
const BATCH_SECTIONS: usize = 64;
/// First delay before a transaction is repeated.
const REPEAT_BASE: Span = Span::from_millis(50);
/// Longest delay before a transaction is repeated.
const REPEAT_CAP: Span = Span::from_secs(1);

/// Who approves what, and why.
#[derive(Debug)]
pub struct Request<'a> {
    /// Key of the operator.
    pub key: &'a SecretKey,
    /// Version that the operator saw in force; zero when there was none.
    pub seen: Version,
    /// The operator's reason.
    pub reason: &'a str,
    /// Seconds since 1970.
    pub at: u64,
    /// Time for which an answer of the store is sought before the outcome is called unknown.
    pub patience: Duration,
}

/// An approval that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Its version.
    pub version: Version,
    /// Digest of its record.
    pub record: Digest,
    /// Name of the operator.
    pub author: String,
    /// Whether this content was in force already, so that nothing was written.
    pub unchanged: bool,
    /// A later version that has replaced it meanwhile.
    pub replaced: Option<Version>,
}

/// Why a bundle was not accepted. Only `Unknown` leaves that open.
#[derive(Clone, Debug, Error)]
pub enum ApproveError {
    /// Another approval came first.
    #[error(
        "not accepted: version {version} was accepted first, by {author} ({reason}); this approval \
         did not take effect"
    )]
    Lost {
        /// Version that won.
        version: Version,
        /// Who approved it.
        author: String,
        /// Why.
        reason: String,
    },
    /// The key belongs to no operator of the bundle in force.
    #[error("not accepted: key {0} is not one of an operator of the bundle in force")]
    Operator(PublicKey),
    /// What was to be signed is not valid.
    #[error("not accepted: {0}")]
    Manifest(#[from] ManifestError),
    /// The store or what it holds can't be read, or it refused a write.
    #[error("not accepted: {0}")]
    Source(#[from] SourceError),
    /// The store did not say whether the approval took effect.
    #[error(
        "unknown whether version {version} was accepted ({error}); ask \"damaskweir bundle status\" \
         whether record {record} is in force"
    )]
    Unknown {
        /// Version that it would have.
        version: Version,
        /// Digest of its record.
        record: Digest,
        /// The last error of the store.
        error: StoreError,
    },
}

impl From<StoreError> for ApproveError {
    fn from(error: StoreError) -> Self {
        Self::Source(error.into())
    }
}

/// Signs a bundle and accepts it as the version after the one that the operator saw.
pub async fn approve(
    client: &Client,
    request: &Request<'_>,
    bundle: &Bundle,
) -> Result<Accepted, ApproveError> {
    let content = Content::split(bundle).map_err(SourceError::from)?;
    let current = current(client).await?;
    if let Some(current) = &current
        && current.record.manifest().content == content.digest()
    {
        return Ok(unchanged(current));
    }
    let draft = Draft { action: Action::Approve, bundle, content };
    accept(client, request, current, draft).await
}

/// Brings back the content of an earlier version as a new version. The operators' keys stay as they
/// are, since a key that was taken away must not come back unnoticed.
pub async fn rollback(
    client: &Client,
    request: &Request<'_>,
    to: Version,
) -> Result<Accepted, ApproveError> {
    let Some(current) = current(client).await? else {
        return Err(SourceError::Version(to).into());
    };
    let earlier = load_record(client, to).await?;
    let (_, earlier) = load_content(client, &earlier).await?;
    let (_, present) = load_content(client, &current.record).await?;
    let mut bundle = Bundle::clone(&earlier);
    bundle.operators = present.operators.clone();
    let content = Content::split(&bundle).map_err(SourceError::from)?;
    if current.record.manifest().content == content.digest() {
        return Ok(unchanged(&current));
    }
    let draft = Draft { action: Action::Rollback(to), bundle: &bundle, content };
    accept(client, request, Some(current), draft).await
}

fn unchanged(current: &Current) -> Accepted {
    let manifest = current.record.manifest();
    Accepted {
        version: manifest.version,
        record: current.record.digest(),
        author: manifest.author.clone(),
        unchanged: true,
        replaced: None,
    }
}

struct Draft<'a> {
    action: Action,
    bundle: &'a Bundle,
    content: Content,
}

async fn accept(
    client: &Client,
    request: &Request<'_>,
    current: Option<Current>,
    draft: Draft<'_>,
) -> Result<Accepted, ApproveError> {
    let seen = current.as_ref().map_or(Version(0), |current| current.record.manifest().version);
    if seen != request.seen {
        let winner = match &current {
            Some(current) => winner_after(client, request.seen, &current.record).await,
            None => return Err(SourceError::Version(request.seen).into()),
        };
        return Err(lost(&winner));
    }
    let (present, stored) = match &current {
        Some(current) => {
            let (content, bundle) = load_content(client, &current.record).await?;
            (Some(bundle), content.sections.into_keys().collect())
        }
        None => (None, BTreeSet::new()),
    };
    let signer = request.key.public_key();
    let operators = present.as_ref().map_or(&draft.bundle.operators, |bundle| &bundle.operators);
    let author = operators.iter().find(|(_, operator)| operator.key == signer.0);
    let Some((author, _)) = author else { return Err(ApproveError::Operator(signer)) };

    let version = Version(seen.0 + 1);
    let mut lineage =
        current.as_ref().map_or_else(Vec::new, |c| c.record.manifest().key_changes.clone());
    let keys = |operators: &std::collections::BTreeMap<String, OperatorKey>| {
        operators.values().map(|operator| operator.key).collect::<BTreeSet<_>>()
    };
    if keys(operators) != keys(&draft.bundle.operators) {
        lineage.push(KeyChange::sign(version, keys(&draft.bundle.operators), request.key));
    }
    let manifest = Manifest {
        version,
        from: seen,
        action: draft.action,
        author: author.clone(),
        at: request.at,
        reason: request.reason.to_owned(),
        content: draft.content.digest(),
        previous: current.as_ref().map_or(Digest([0; 32]), |current| current.record.digest()),
        signer: signer.0,
        key_changes: lineage,
    };
    let record = Record::sign(manifest, request.key)?;
    // Sections first: whoever sees the manifest finds all that it names.
    write_sections(client, &draft.content, &stored).await?;
    commit(client, request, current.as_ref(), &record).await
}

/// Writes the sections that the version in force does not have. They are addressed by content, so a
/// repeat after a lost answer is harmless.
async fn write_sections(
    client: &Client,
    content: &Content,
    stored: &BTreeSet<Digest>,
) -> Result<(), StoreError> {
    let index = std::iter::once((content.digest(), &content.index_bytes));
    let fresh = content.sections.iter().map(|(address, bytes)| (*address, bytes));
    let fresh = fresh.filter(|(address, _)| !stored.contains(address)).chain(index);
    let mut batches: Vec<(usize, Txn)> = Vec::new();
    for (address, bytes) in fresh {
        let put = Op::Put(section_key(&address), bytes.to_vec(), 0);
        match batches.last_mut() {
            Some((size, txn))
                if *size + bytes.len() <= BATCH_BYTES && txn.success.len() < BATCH_SECTIONS =>
            {
                *size += bytes.len();
                txn.success.push(put);
            }
            _ => batches.push((bytes.len(), Txn { success: vec![put], ..Txn::default() })),
        }
    }
    for (_, txn) in batches {
        let mut result = client.txn(&txn).await;
        if result.as_ref().is_err_and(|error| error.effect() == WriteEffect::Unknown) {
            result = client.txn(&txn).await;
        }
        result?;
    }
    Ok(())
}

/// The one transaction that accepts. It compares the manifest with the one that the operator saw, so
/// a repeat after a lost answer can't accept twice.
async fn commit(
    client: &Client,
    request: &Request<'_>,
    current: Option<&Current>,
    record: &Record,
) -> Result<Accepted, ApproveError> {
    let manifest = record.manifest();
    let audit = audit_key(manifest.version);
    let seen = match current {
        Some(current) => Compare::Revision(MANIFEST_KEY.to_owned(), current.revision),
        None => Compare::Absent(MANIFEST_KEY.to_owned()),
    };
    let value = record.bytes().to_vec();
    let txn = Txn {
        compare: vec![seen, Compare::Absent(audit.clone())],
        success: vec![
            Op::Put(MANIFEST_KEY.to_owned(), value.clone(), 0),
            Op::Put(audit.clone(), value, 0),
        ],
        failure: vec![Op::Get(MANIFEST_KEY.to_owned()), Op::Get(audit)],
    };
    let until = Instant::now() + request.patience;
    let digest = record.digest();
    let mut rng = Rng::from_seed(digest.0);
    let mut backoff = Backoff::new(REPEAT_BASE, REPEAT_CAP);
    let mut uncertain = false;
    loop {
        let error = match client.txn_once(&txn).await {
            Ok(answer) if answer.succeeded => return Ok(accepted(record, None)),
            Ok(answer) => return decide(record, &answer.responses),
            Err(error) => error,
        };
        uncertain |= error.effect() == WriteEffect::Unknown;
        let delay = backoff.next_delay(&mut rng).into();
        if Instant::now() + delay >= until {
            return Err(if uncertain {
                ApproveError::Unknown { version: manifest.version, record: digest, error }
            } else {
                error.into()
            });
        }
        tokio::time::sleep(delay).await;
    }
}

fn accepted(record: &Record, replaced: Option<Version>) -> Accepted {
    let manifest = record.manifest();
    Accepted {
        version: manifest.version,
        record: record.digest(),
        author: manifest.author.clone(),
        unchanged: false,
        replaced,
    }
}

/// The manifest is no longer the one that the operator saw. It may be one's own, whose answer was
/// lost, or that of the operator who came first.
fn decide(record: &Record, answers: &[OpResponse]) -> Result<Accepted, ApproveError> {
    let read = |answer: Option<&OpResponse>| match answer {
        Some(OpResponse::Got(Some(KeyValue { value, .. }))) => {
            Record::decode(&value.clone().into()).ok()
        }
        _ => None,
    };
    let (force, audit) = (read(answers.first()), read(answers.get(1)));
    if let Some(audit) = &audit
        && audit.digest() == record.digest()
    {
        let version = record.manifest().version;
        let later = force.map(|force| force.manifest().version).filter(|force| *force > version);
        return Ok(accepted(record, later));
    }
    match audit.or(force) {
        Some(winner) => Err(lost(&winner)),
        None => Err(SourceError::Version(record.manifest().version).into()),
    }
}

/// The record that followed the version that the operator saw.
async fn winner_after(client: &Client, seen: Version, force: &Record) -> Record {
    load_record(client, Version(seen.0 + 1)).await.unwrap_or_else(|_| force.clone())
}

fn lost(winner: &Record) -> ApproveError {
    let manifest = winner.manifest();
    ApproveError::Lost {
        version: manifest.version,
        author: manifest.author.clone(),
        reason: manifest.reason.clone(),
    }
}
