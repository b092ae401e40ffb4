//! A certificate authority (CA) for the certificates of daemons.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use spindle_daemon::TlsFiles;
use std::io;
use std::path::Path;

/// A CA with a newly generated key.
#[derive(Debug)]
pub struct AuthorityStandin {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

impl AuthorityStandin {
    /// Generates the key and the self-signed certificate of a CA.
    ///
    /// # Errors
    ///
    /// The key or the certificate can't be generated.
    pub fn new() -> Result<Self, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key)?.pem();
        Ok(Self { issuer: Issuer::new(params, key), certificate })
    }

    /// Writes a key, a certificate for an IP address that this CA signs, and the certificate of the
    /// CA that the owner of the key trusts.
    ///
    /// # Errors
    ///
    /// The address is invalid, or a file can't be written.
    pub fn write(&self, directory: &Path, address: &str, trusted: &Self) -> io::Result<TlsFiles> {
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let params = CertificateParams::new(vec![address.to_owned()]).map_err(io::Error::other)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(io::Error::other)?;
        let write = |name: &str, text: &str| {
            let path = directory.join(name);
            std::fs::write(&path, text).map(|()| path)
        };
        Ok(TlsFiles {
            certificate: write("certificate.pem", &certificate.pem())?,
            key: write("key.pem", &key.serialize_pem())?,
            authority: write("authority.pem", &trusted.certificate)?,
        })
    }
}
