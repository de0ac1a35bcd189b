//! TLS configuration from the certificates and the private key of a process.

use crate::error::WireError;
use crate::hello::PROTOCOL_VERSION;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::crypto::{CryptoProvider, ring};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::fmt;
use std::path::Path;
use std::sync::Arc;

/// DNS name that the certificates of sidecars must contain by default.
const DEFAULT_SERVER_NAME: &str = "damaskweir";

/// Certificates and the private key of a process. Entries and sidecars verify each other's certificates
/// against the same certificate authority.
pub struct Keys {
    authority: Vec<CertificateDer<'static>>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    server_name: String,
}

impl Keys {
    /// Reads PEM files with the certificate authority, the certificate chain and the private key.
    pub fn from_files(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, WireError> {
        Self::from_pem(&read_file(authority)?, &read_file(certificate)?, &read_file(key)?)
    }

    /// Parses PEM text with the certificate authority, the certificate chain and the private key.
    pub fn from_pem(authority: &[u8], certificate: &[u8], key: &[u8]) -> Result<Self, WireError> {
        Ok(Self {
            authority: read_certificates(authority, "certificate authority")?,
            chain: read_certificates(certificate, "certificate")?,
            key: PrivateKeyDer::from_pem_slice(key)
                .map_err(|error| WireError::Keys(format!("private key: {error}")))?,
            server_name: DEFAULT_SERVER_NAME.to_owned(),
        })
    }

    /// Sets the DNS name that the certificates of sidecars must contain, instead of `damaskweir`.
    pub fn with_server_name(mut self, name: &str) -> Self {
        self.server_name = name.to_owned();
        self
    }

    pub(crate) fn server_name(&self) -> &str {
        &self.server_name
    }

    pub(crate) fn client_config(&self) -> Result<QuicClientConfig, WireError> {
        let mut config = ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.root_store()?)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![alpn()];
        QuicClientConfig::try_from(config).map_err(|error| WireError::Keys(error.to_string()))
    }

    pub(crate) fn server_config(&self) -> Result<QuicServerConfig, WireError> {
        let roots = Arc::new(self.root_store()?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider())
            .build()
            .map_err(|error| WireError::Keys(error.to_string()))?;
        let mut config = ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![alpn()];
        QuicServerConfig::try_from(config).map_err(|error| WireError::Keys(error.to_string()))
    }

    fn root_store(&self) -> Result<RootCertStore, WireError> {
        let mut roots = RootCertStore::empty();
        for certificate in &self.authority {
            roots.add(certificate.clone())?;
        }
        Ok(roots)
    }
}

impl Clone for Keys {
    fn clone(&self) -> Self {
        Self {
            authority: self.authority.clone(),
            chain: self.chain.clone(),
            key: self.key.clone_key(),
            server_name: self.server_name.clone(),
        }
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").field("name", &self.server_name).finish_non_exhaustive()
    }
}

/// Passed to each configuration explicitly, so that no process-wide default has to be installed.
fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn alpn() -> Vec<u8> {
    format!("damaskweir/{PROTOCOL_VERSION}").into_bytes()
}

fn read_file(path: &Path) -> Result<Vec<u8>, WireError> {
    std::fs::read(path).map_err(|source| WireError::File { path: path.to_owned(), source })
}

fn read_certificates(pem: &[u8], what: &str) -> Result<Vec<CertificateDer<'static>>, WireError> {
    let certificates: Vec<_> = CertificateDer::pem_slice_iter(pem)
        .collect::<Result<_, _>>()
        .map_err(|error| WireError::Keys(format!("{what}: {error}")))?;
    if certificates.is_empty() {
        return Err(WireError::Keys(format!("{what}: PEM text contains no certificate")));
    }
    Ok(certificates)
}
