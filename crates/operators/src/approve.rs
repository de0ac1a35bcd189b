//! Approval and rollback of bundles, by a compare-and-swap on the manifest.

use crate::layout::{MANIFEST_KEY, audit_key, section_key};
use crate::source::{CurrentRecord, LoadError, load_content, load_current, load_record};
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

/// Maximum bytes of sections in one transaction. etcd's default request limit is 1.5 MiB.
const BATCH_BYTES: usize = 1_000_000;
/// Maximum number of sections in one transaction.
const BATCH_SECTIONS: usize = 64;
/// Delay before the first retry of a transaction.
const RETRY_DELAY_MIN: Span = Span::from_millis(50);
/// Maximum delay before a retry of a transaction.
const RETRY_DELAY_MAX: Span = Span::from_secs(1);

/// Parameters of an approval or rollback.
#[derive(Debug)]
pub struct ApprovalRequest<'a> {
    /// Secret key of the operator.
    pub key: &'a SecretKey,
    /// Version that the change is based on; zero if no bundle was accepted before.
    pub base_version: Version,
    /// Reason for the audit trail.
    pub reason: &'a str,
    /// Time of the approval, in seconds since the Unix epoch.
    pub timestamp: u64,
    /// Time after which the commit is not retried any more. The approval then fails, with
    /// `OutcomeUnknown` if the commit may have taken effect.
    pub timeout: Duration,
}

/// Result of a successful approval or rollback.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Accepted version.
    pub version: Version,
    /// Digest of the audit record.
    pub record: Digest,
    /// Name of the operator who approved it.
    pub author: String,
    /// Whether the content was already in force, so that nothing was written.
    pub unchanged: bool,
    /// Later version that has already replaced this one.
    pub superseded_by: Option<Version>,
}

/// Error of an approval or rollback. Except for `OutcomeUnknown`, the bundle was not accepted.
#[derive(Clone, Debug, Error)]
pub enum ApproveError {
    /// Another approval was accepted first.
    #[error(
        "not accepted: version {version} was accepted first, by {author} ({reason}); this approval \
         did not take effect"
    )]
    Conflict {
        /// Version that was accepted first.
        version: Version,
        /// Who approved it.
        author: String,
        /// Its reason.
        reason: String,
    },
    /// The key does not belong to an operator of the bundle in force.
    #[error("not accepted: key {0} does not belong to an operator of the bundle in force")]
    UnknownKey(PublicKey),
    /// The manifest to sign is invalid.
    #[error("not accepted: {0}")]
    Manifest(#[from] ManifestError),
    /// The store can't be read, holds invalid data or rejected a write.
    #[error("not accepted: {0}")]
    Load(#[from] LoadError),
    /// The store did not confirm whether the approval took effect.
    #[error(
        "unknown whether version {version} was accepted ({error}); run \"damaskweir bundle status\" \
         to see whether record {record} is in force"
    )]
    OutcomeUnknown {
        /// Version that the approval would have.
        version: Version,
        /// Digest of its audit record.
        record: Digest,
        /// Last error of the store.
        error: StoreError,
    },
}

impl From<StoreError> for ApproveError {
    fn from(error: StoreError) -> Self {
        Self::Load(error.into())
    }
}

/// Signs a bundle and puts it in force as the version after `request.base_version`.
pub async fn approve(
    client: &Client,
    request: &ApprovalRequest<'_>,
    bundle: &Bundle,
) -> Result<Accepted, ApproveError> {
    let content = Content::split(bundle).map_err(LoadError::from)?;
    let current = load_current(client).await?;
    if let Some(current) = &current
        && current.record.manifest().content == content.digest()
    {
        return Ok(already_in_force(current));
    }
    let proposal = Proposal { action: Action::Approve, bundle, content };
    accept(client, request, current, proposal).await
}

/// Puts the content of an earlier version in force as a new version. The operators' keys are kept
/// from the current version, so that a rollback can't silently restore a revoked key.
pub async fn rollback(
    client: &Client,
    request: &ApprovalRequest<'_>,
    to: Version,
) -> Result<Accepted, ApproveError> {
    let Some(current) = load_current(client).await? else {
        return Err(LoadError::UnknownVersion(to).into());
    };
    let earlier = load_record(client, to).await?;
    let (_, earlier) = load_content(client, &earlier).await?;
    let (_, current_bundle) = load_content(client, &current.record).await?;
    let mut bundle = Bundle::clone(&earlier);
    bundle.operators = current_bundle.operators.clone();
    let content = Content::split(&bundle).map_err(LoadError::from)?;
    if current.record.manifest().content == content.digest() {
        return Ok(already_in_force(&current));
    }
    let proposal = Proposal { action: Action::Rollback(to), bundle: &bundle, content };
    accept(client, request, Some(current), proposal).await
}

fn already_in_force(current: &CurrentRecord) -> Accepted {
    let manifest = current.record.manifest();
    Accepted {
        version: manifest.version,
        record: current.record.digest(),
        author: manifest.author.clone(),
        unchanged: true,
        superseded_by: None,
    }
}

struct Proposal<'a> {
    action: Action,
    bundle: &'a Bundle,
    content: Content,
}

async fn accept(
    client: &Client,
    request: &ApprovalRequest<'_>,
    current: Option<CurrentRecord>,
    proposal: Proposal<'_>,
) -> Result<Accepted, ApproveError> {
    let base = current.as_ref().map_or(Version(0), |current| current.record.manifest().version);
    if base != request.base_version {
        let successor = match &current {
            Some(current) => load_successor(client, request.base_version, &current.record).await,
            None => return Err(LoadError::UnknownVersion(request.base_version).into()),
        };
        return Err(conflict(&successor));
    }
    let (current_bundle, stored) = match &current {
        Some(current) => {
            let (content, bundle) = load_content(client, &current.record).await?;
            (Some(bundle), content.sections.into_keys().collect())
        }
        None => (None, BTreeSet::new()),
    };
    let signer = request.key.public_key();
    let operators =
        current_bundle.as_ref().map_or(&proposal.bundle.operators, |bundle| &bundle.operators);
    let author = operators.iter().find(|(_, operator)| operator.key == signer.0);
    let Some((author, _)) = author else { return Err(ApproveError::UnknownKey(signer)) };

    let version = Version(base.0 + 1);
    let mut lineage =
        current.as_ref().map_or_else(Vec::new, |c| c.record.manifest().key_changes.clone());
    let key_set = |operators: &std::collections::BTreeMap<String, OperatorKey>| {
        operators.values().map(|operator| operator.key).collect::<BTreeSet<_>>()
    };
    if key_set(operators) != key_set(&proposal.bundle.operators) {
        lineage.push(KeyChange::sign(version, key_set(&proposal.bundle.operators), request.key));
    }
    let manifest = Manifest {
        version,
        from: base,
        action: proposal.action,
        author: author.clone(),
        at: request.timestamp,
        reason: request.reason.to_owned(),
        content: proposal.content.digest(),
        previous: current.as_ref().map_or(Digest([0; 32]), |current| current.record.digest()),
        signer: signer.0,
        key_changes: lineage,
    };
    let record = Record::sign(manifest, request.key)?;
    // Sections are written first, so that every reader of the manifest finds all sections it refers
    // to.
    write_sections(client, &proposal.content, &stored).await?;
    commit(client, request, current.as_ref(), &record).await
}

/// Writes the sections that the version in force does not contain. They are addressed by content,
/// so repeating a write after a lost response is harmless.
async fn write_sections(
    client: &Client,
    content: &Content,
    stored: &BTreeSet<Digest>,
) -> Result<(), StoreError> {
    let index = std::iter::once((content.digest(), &content.index_bytes));
    let missing = content.sections.iter().map(|(address, bytes)| (*address, bytes));
    let missing = missing.filter(|(address, _)| !stored.contains(address)).chain(index);
    let mut batches: Vec<(usize, Txn)> = Vec::new();
    for (address, bytes) in missing {
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

/// Commits the manifest and its audit record in one transaction. It succeeds only if the manifest
/// is still the one the change is based on, so a retry after a lost response can't commit twice.
async fn commit(
    client: &Client,
    request: &ApprovalRequest<'_>,
    current: Option<&CurrentRecord>,
    record: &Record,
) -> Result<Accepted, ApproveError> {
    let manifest = record.manifest();
    let audit = audit_key(manifest.version);
    let unchanged = match current {
        Some(current) => Compare::Revision(MANIFEST_KEY.to_owned(), current.revision),
        None => Compare::Absent(MANIFEST_KEY.to_owned()),
    };
    let value = record.bytes().to_vec();
    let txn = Txn {
        compare: vec![unchanged, Compare::Absent(audit.clone())],
        success: vec![
            Op::Put(MANIFEST_KEY.to_owned(), value.clone(), 0),
            Op::Put(audit.clone(), value, 0),
        ],
        failure: vec![Op::Get(MANIFEST_KEY.to_owned()), Op::Get(audit)],
    };
    let deadline = Instant::now() + request.timeout;
    let digest = record.digest();
    let mut rng = Rng::from_seed(digest.0);
    let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
    let mut maybe_committed = false;
    loop {
        let error = match client.txn_once(&txn).await {
            Ok(answer) if answer.succeeded => return Ok(accepted(record, None)),
            Ok(answer) => return resolve_conflict(record, &answer.responses),
            Err(error) => error,
        };
        maybe_committed |= error.effect() == WriteEffect::Unknown;
        let delay = backoff.next_delay(&mut rng).into();
        if Instant::now() + delay >= deadline {
            return Err(if maybe_committed {
                ApproveError::OutcomeUnknown { version: manifest.version, record: digest, error }
            } else {
                error.into()
            });
        }
        tokio::time::sleep(delay).await;
    }
}

fn accepted(record: &Record, superseded_by: Option<Version>) -> Accepted {
    let manifest = record.manifest();
    Accepted {
        version: manifest.version,
        record: record.digest(),
        author: manifest.author.clone(),
        unchanged: false,
        superseded_by,
    }
}

/// Determines why the manifest has changed: either this approval was committed and the response was
/// lost, or another approval was committed first.
fn resolve_conflict(record: &Record, answers: &[OpResponse]) -> Result<Accepted, ApproveError> {
    let read = |answer: Option<&OpResponse>| match answer {
        Some(OpResponse::Got(Some(KeyValue { value, .. }))) => {
            Record::decode(&value.clone().into()).ok()
        }
        _ => None,
    };
    let (in_force, audit) = (read(answers.first()), read(answers.get(1)));
    if let Some(audit) = &audit
        && audit.digest() == record.digest()
    {
        let version = record.manifest().version;
        let later =
            in_force.map(|in_force| in_force.manifest().version).filter(|later| *later > version);
        return Ok(accepted(record, later));
    }
    match audit.or(in_force) {
        Some(successor) => Err(conflict(&successor)),
        None => Err(LoadError::UnknownVersion(record.manifest().version).into()),
    }
}

/// Loads the record of the version after `base`. If it can't be read, returns the record in force.
async fn load_successor(client: &Client, base: Version, in_force: &Record) -> Record {
    load_record(client, Version(base.0 + 1)).await.unwrap_or_else(|_| in_force.clone())
}

fn conflict(successor: &Record) -> ApproveError {
    let manifest = successor.manifest();
    ApproveError::Conflict {
        version: manifest.version,
        author: manifest.author.clone(),
        reason: manifest.reason.clone(),
    }
}
