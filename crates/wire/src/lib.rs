//! Protocol between entries and sidecars: postcard frames over QUIC connections with mutual TLS.
//!
//! An entry connects to sidecars with a [`Dialer`], which returns a [`Link`] for each. A sidecar accepts
//! entries with a [`Listener`], which returns a [`Connection`] for each. The first stream of a connection
//! is the control stream: both ends send a [`Hello`] on it, followed by heartbeats. Each attempt has its
//! own stream.
//!
//! An attempt is cancelled when the entry closes the sending half of its stream. Dropping an [`Attempt`]
//! closes it, and a lost connection has the same effect, so a cancel can't be forgotten.
//!
//! ```no_run
//! use bytes::Bytes;
//! use damaskweir_core::prelude::*;
//! use damaskweir_wire::{AttemptMessage, Dialer, Keys, Limits, LocalNode, Payload, PeerId, WireError};
//! use std::path::Path;
//!
//! # async fn run(dispatch: Dispatch) -> Result<(), WireError> {
//! let keys =
//!     Keys::from_files(Path::new("ca.pem"), Path::new("entry.pem"), Path::new("entry.key"))?;
//! let local = LocalNode::new(PeerId::Entry("entry-1".into()), "zone-a".into(), Incarnation(7));
//! let any = "0.0.0.0:0".parse().expect("a valid address");
//! let dialer = Dialer::bind(any, &keys, local, Limits::default())?;
//! let address = "10.0.0.7:7000".parse().expect("a valid address");
//! let link = dialer.connect(address, &"engine-1".into()).await?;
//! let path = "/v1/completions".to_owned();
//! let payload = Payload { path, key: None, body: Bytes::from_static(b"Labels for Kollam:") };
//! let mut attempt = link.dispatch(&dispatch, payload).await?;
//! while let Some(message) = attempt.next().await? {
//!     if let AttemptMessage::Chunk { data, .. } = message {
//!         print!("{}", String::from_utf8_lossy(&data));
//!     }
//! }
//! # Ok(())
//! # }
//! ```

mod error;
mod frame;
mod hello;
mod keys;
mod limits;
mod link;
mod listener;
mod message;
mod pulse;
mod session;

pub use error::{FrameError, WireError};
pub use frame::Codec;
pub use hello::{Hello, LocalNode, PROTOCOL_VERSION, PeerId};
pub use keys::Keys;
pub use limits::Limits;
pub use link::{Attempt, Dialer, Link};
pub use listener::{
    Connection, DispatchId, ForbidReply, Listener, Peer, RejectedConnection, Reply, Request,
};
pub use message::{AttemptMessage, Payload, PullRequest};
