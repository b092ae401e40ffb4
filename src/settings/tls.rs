//! Settings of the keys and certificates for mutual TLS.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_daemon::TlsFiles;
use std::path::PathBuf;

/// Files in PEM format. They are reloaded when they change.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// This daemon's certificate for the IP address at which other daemons reach it, with the
    /// intermediate certificates up to the authority.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// The certificates of the certificate authority that signs the certificates of daemons.
    pub authority: PathBuf,
}

impl From<&TlsSettings> for TlsFiles {
    fn from(settings: &TlsSettings) -> Self {
        let TlsSettings { certificate, key, authority } = settings.clone();
        Self { certificate, key, authority }
    }
}
