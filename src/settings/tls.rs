//! Settings of keys and certificates.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_daemon::TlsFiles;
use std::path::PathBuf;

/// Files in PEM form. They are read again when they change.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// This daemon's certificate, for the IP address at which others reach it, with the
    /// certificates between it and the authority.
    pub certificate: PathBuf,
    /// The key of the certificate.
    pub key: PathBuf,
    /// The certificates of the authority that signs daemons' certificates.
    pub authority: PathBuf,
}

impl From<&TlsSettings> for TlsFiles {
    fn from(settings: &TlsSettings) -> Self {
        let TlsSettings { certificate, key, authority } = settings.clone();
        Self { certificate, key, authority }
    }
}
