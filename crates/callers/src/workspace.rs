//! Determines the workspace of a request.

use crate::code::ErrorCode;
use damaskweir_core::ids::{Digest, WorkspaceId};
use salvo::http::{HeaderMap, header};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;

/// Maps credentials to workspaces. Holds only digests of credentials, so that none can reach a log.
#[derive(Clone, Debug, Default)]
pub struct Authenticator {
    credentials: BTreeMap<Digest, WorkspaceId>,
    /// Whether `x-workspace` is trusted without a credential.
    trust_header: bool,
}

/// Returns the SHA-256 digest of a credential, as it is stored in the settings.
pub fn credential_digest(credential: &[u8]) -> Digest {
    Digest(Sha256::digest(credential).into())
}

impl Authenticator {
    /// Creates an authenticator from workspaces by credential digest. With `trust_header`,
    /// `x-workspace` is trusted without a credential.
    pub fn new(credentials: BTreeMap<Digest, WorkspaceId>, trust_header: bool) -> Self {
        Self { credentials, trust_header }
    }

    pub(crate) fn resolve(&self, headers: &HeaderMap) -> Result<WorkspaceId, ErrorCode> {
        let requested = match headers.get("x-workspace").map(|value| value.to_str()) {
            None => None,
            Some(Ok(name)) if !name.is_empty() => Some(WorkspaceId::from(name)),
            Some(_) => return Err(ErrorCode::UnknownWorkspace),
        };
        match (headers.get(header::AUTHORIZATION), requested) {
            (None, None) => Err(ErrorCode::WorkspaceRequired),
            (None, Some(requested)) if self.trust_header => Ok(requested),
            (None, Some(_)) => Err(ErrorCode::WorkspaceRequired),
            (Some(value), requested) => {
                let owner =
                    self.workspace_for(value.as_bytes()).ok_or(ErrorCode::UnknownCredential)?;
                match requested {
                    Some(requested) if requested != *owner => Err(ErrorCode::WorkspaceDenied),
                    _ => Ok(owner.clone()),
                }
            }
        }
    }

    fn workspace_for(&self, authorization: &[u8]) -> Option<&WorkspaceId> {
        let (scheme, credential) = authorization.split_at_checked("Bearer ".len())?;
        if !scheme.eq_ignore_ascii_case(b"Bearer ") {
            return None;
        }
        self.credentials.get(&credential_digest(credential.trim_ascii()))
    }
}
