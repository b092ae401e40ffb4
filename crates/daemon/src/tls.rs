//! Mutual TLS between daemons. Both sides present a certificate for their IP address, signed by the
//! certificate authority of the deployment.

use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use thiserror::Error;

/// Paths of the PEM files with the key and certificates of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsFiles {
    /// Certificate of the daemon, followed by the intermediate certificates.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificates of the authority that signs the daemons' certificates.
    pub authority: PathBuf,
}

/// The key or certificates can't be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file can't be read, or is not in PEM format.
    #[error("{path}: {error}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        error: pem::Error,
    },
    /// The certificates or the key are not valid, or do not match.
    #[error("certificates: {0}")]
    Invalid(String),
}

#[derive(Debug)]
struct Loaded {
    server: Arc<ServerConfig>,
    client: ClientConfig,
}

/// The key and certificates in use, which can be reloaded. Clones share them.
#[derive(Clone, Debug)]
pub struct Tls {
    files: Arc<TlsFiles>,
    loaded: Arc<RwLock<Loaded>>,
}

impl Tls {
    /// Loads the key and certificates.
    ///
    /// # Errors
    ///
    /// A file can't be read, or its content is not valid.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        let loaded = Loaded::read(&files)?;
        Ok(Self { files: Arc::new(files), loaded: Arc::new(RwLock::new(loaded)) })
    }

    /// Reloads the key and certificates for new connections. On an error, the old ones stay in use.
    ///
    /// # Errors
    ///
    /// A file can't be read, or its content is not valid.
    pub fn reload(&self) -> Result<(), TlsError> {
        let loaded = Loaded::read(&self.files)?;
        *self.loaded.write().unwrap_or_else(PoisonError::into_inner) = loaded;
        Ok(())
    }

    /// Paths of the files that the key and certificates are loaded from.
    pub fn files(&self) -> &TlsFiles {
        &self.files
    }

    /// TLS configuration for incoming connections.
    pub fn server(&self) -> Arc<ServerConfig> {
        let loaded = self.loaded.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&loaded.server)
    }

    /// TLS configuration for outgoing connections.
    pub fn client(&self) -> ClientConfig {
        self.loaded.read().unwrap_or_else(PoisonError::into_inner).client.clone()
    }
}

impl Loaded {
    fn read(files: &TlsFiles) -> Result<Self, TlsError> {
        let chain = certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|error| TlsError::File { path: files.key.clone(), error })?;
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&files.authority)? {
            roots.add(certificate).map_err(invalid)?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
                .build()
                .map_err(invalid)?;
        let server = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()
            .map_err(invalid)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(invalid)?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(invalid)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(invalid)?;
        Ok(Self { server: Arc::new(server), client })
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let file = |error| TlsError::File { path: path.to_owned(), error };
    CertificateDer::pem_file_iter(path).map_err(file)?.collect::<Result<_, _>>().map_err(file)
}

fn invalid(error: impl std::fmt::Display) -> TlsError {
    TlsError::Invalid(error.to_string())
}
