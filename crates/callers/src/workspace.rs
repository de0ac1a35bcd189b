//! Whose request it is.

use crate::code::ErrorCode;
use damaskweir_core::ids::{Digest, WorkspaceId};
use salvo::http::{HeaderMap, header};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;

/// Maps credentials to workspaces. It holds digests only, so no credential can reach a log.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    credentials: BTreeMap<Digest, WorkspaceId>,
    /// Whether `x-workspace` is believed without a credential.
    header: bool,
}

/// SHA-256 of a credential, as settings hold it.
pub fn credential_digest(credential: &[u8]) -> Digest {
    Digest(Sha256::digest(credential).into())
}

impl Directory {
    /// Credentials by digest; `header` says whether `x-workspace` is believed without one.
    pub fn new(credentials: BTreeMap<Digest, WorkspaceId>, header: bool) -> Self {
        Self { credentials, header }
    }

    pub(crate) fn resolve(&self, headers: &HeaderMap) -> Result<WorkspaceId, ErrorCode> {
        let named = match headers.get("x-workspace").map(|value| value.to_str()) {
            None => None,
            Some(Ok(name)) if !name.is_empty() => Some(WorkspaceId::from(name)),
            Some(_) => return Err(ErrorCode::UnknownWorkspace),
        };
        match (headers.get(header::AUTHORIZATION), named) {
            (None, None) => Err(ErrorCode::WorkspaceRequired),
            (None, Some(named)) if self.header => Ok(named),
            (None, Some(_)) => Err(ErrorCode::WorkspaceRequired),
            (Some(value), named) => {
                let owner = self.owner(value.as_bytes()).ok_or(ErrorCode::UnknownCredential)?;
                match named {
                    Some(named) if named != *owner => Err(ErrorCode::WorkspaceDenied),
                    _ => Ok(owner.clone()),
                }
            }
        }
    }

    fn owner(&self, authorization: &[u8]) -> Option<&WorkspaceId> {
        let (scheme, credential) = authorization.split_at_checked("Bearer ".len())?;
        if !scheme.eq_ignore_ascii_case(b"Bearer ") {
            return None;
        }
        self.credentials.get(&credential_digest(credential.trim_ascii()))
    }
}
