//! Certificates and keys by which daemons authenticate each other.

use std::{
    path::Path,
    sync::Arc, //
};

use quinn::crypto::rustls::{
    QuicClientConfig,
    QuicServerConfig, //
};
use ring::hmac;
use rustls::{
    RootCertStore,
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        pem::PemObject, //
    },
    server::WebPkiClientVerifier,
};

use sha2::{
    Digest,
    Sha256, //
};

use super::Error;
use crate::settings::Tls;

/// Protocol name in the TLS handshake. It must change whenever the frames change incompatibly.
const ALPN: &[u8] = b"chestnuthub/1";

/// Hashed together with the private key, so that the reset key differs from anything else that is
/// derived from that key.
const RESET_KEY_CONTEXT: &[u8] = b"chestnuthub stateless reset";

/// A daemon's certificate and private key, and the authority that signs its peers' certificates.
#[derive(Debug)]
pub struct Identity {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Reads the PEM files named in the settings.
    ///
    /// # Errors
    ///
    /// `Config` with the name of the file that can't be read.
    pub fn load(tls: &Tls) -> Result<Self, Error> {
        Ok(Self {
            authority: read_certificate(&tls.authority)?,
            certificate: read_certificate(&tls.certificate)?,
            key: PrivateKeyDer::from_pem_file(&tls.key)
                .map_err(|error| config_error(format!("{}: {error}", tls.key.display())))?,
        })
    }

    pub(super) fn client_config(&self) -> Result<QuicClientConfig, Error> {
        let mut tls = rustls::ClientConfig::builder()
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(config_error)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        QuicClientConfig::try_from(tls).map_err(config_error)
    }

    pub(super) fn server_config(&self) -> Result<QuicServerConfig, Error> {
        let verifier = WebPkiClientVerifier::builder(Arc::new(self.roots()?))
            .build()
            .map_err(config_error)?;
        let mut tls = rustls::ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(config_error)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        QuicServerConfig::try_from(tls).map_err(config_error)
    }

    /// Returns the key for stateless resets. It is derived from the private key, so that a
    /// restarted daemon has the same key and can reset connections to its previous process at once.
    pub(super) fn reset_key(&self) -> hmac::Key {
        let mut digest = Sha256::new();
        digest.update(RESET_KEY_CONTEXT);
        digest.update(self.key.secret_der());
        hmac::Key::new(hmac::HMAC_SHA256, &digest.finalize())
    }

    fn roots(&self) -> Result<RootCertStore, Error> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone()).map_err(config_error)?;
        Ok(roots)
    }
}

fn read_certificate(path: &Path) -> Result<CertificateDer<'static>, Error> {
    CertificateDer::from_pem_file(path)
        .map_err(|error| config_error(format!("{}: {error}", path.display())))
}

fn config_error<E: ToString>(error: E) -> Error {
    Error::Config(error.to_string())
}
