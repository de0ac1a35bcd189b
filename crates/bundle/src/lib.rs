//! The bundle: the configuration that operators write, approve and roll out.
//!
//! A bundle is written as one INI file ([`parse`], [`print`]). It is split into sections that are
//! addressed by their SHA-256 digests ([`Content`]) and bound to a version by a signed
//! [`Manifest`]. A [`Node`] receives manifests and sections from any source, verifies them, and
//! installs a bundle only once it is complete.
//!
//! ```
//! let text = "
//! [operator asha]
//! key = d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a
//!
//! [workspace kollam]
//! share = 0
//! ";
//! let findings = damaskweir_bundle::parse("bundle.ini", text).unwrap_err();
//! assert_eq!(findings.len(), 2);
//! assert_eq!(
//!     findings[0].to_string(),
//!     "bundle.ini: [workspace kollam] share: \"0\" is not accepted; expected 1 to 1000"
//! );
//! ```

mod change;
mod check;
mod file;
mod key;
mod manifest;
mod node;
mod patch;
mod section;

pub use change::{Change, diff};
pub use file::{Finding, Problem, parse, print};
pub use key::{KeyError, PublicKey, SecretKey};
pub use manifest::{Action, KeyChange, Manifest, ManifestError, Record, TrustedKeys};
pub use node::{AdvertiseOutcome, InstalledBundle, Node, NodeError, NodeStep};
pub use patch::Patch;
pub use section::{Content, ContentError, Index, SECTION_COUNT, SectionName, digest};

/// Maximum size of an encoded section, in bytes: the largest value that the store accepts.
pub const SECTION_MAX_BYTES: usize = 1_000_000;
