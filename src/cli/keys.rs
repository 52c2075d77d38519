//! `chestnuthub keys`.

use std::{
    fs::{
        self,
        OpenOptions, //
    },
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{
        Path,
        PathBuf, //
    },
};

use bpaf::{
    Parser,
    construct, //
};
use rcgen::{
    BasicConstraints,
    CertificateParams,
    DnType,
    ExtendedKeyUsagePurpose,
    IsCa,
    Issuer,
    KeyPair,
    KeyUsagePurpose, //
};
use serde_json::json;

use super::exit::{
    Error,
    Report, //
};

/// Common name of the authority in its own certificate and as issuer of the others.
const AUTHORITY_NAME: &str = "chestnuthub authority";

/// File permissions of a private key.
const KEY_MODE: u32 = 0o600;

/// File permissions of a certificate.
const CERTIFICATE_MODE: u32 = 0o644;

/// A command about keys.
#[derive(Debug, Clone)]
pub(super) enum Command {
    Create(Create),
}

/// Creates certificates and private keys for instances.
#[derive(Debug, Clone)]
pub(super) struct Create {
    out: PathBuf,
    names: Vec<String>,
    json: bool,
}

pub(super) fn options() -> impl Parser<Command> {
    let out = bpaf::long("out")
        .help("Directory for the PEM files; an authority that is there signs the new certificates")
        .argument::<PathBuf>("DIR");
    let names = bpaf::long("name")
        .help("Name of an instance, or several")
        .argument::<String>("INSTANCE");
    let names = names.some("give at least one --name");
    let other_names = bpaf::positional::<String>("INSTANCE").many();
    let names = construct!(names, other_names).map(|(mut names, other_names)| {
        names.extend(other_names);
        names
    });
    let json = super::json();
    construct!(Create { out, json, names })
        .map(Command::Create)
        .to_options()
        .descr("Makes an authority, and a certificate with its key for each instance")
        .command("create")
}

impl Command {
    pub(super) fn json(&self) -> bool {
        let Self::Create(create) = self;
        create.json
    }

    pub(super) fn run(&self) -> Result<Report, Error> {
        let Self::Create(create) = self;
        create.run()
    }
}

impl Create {
    fn run(&self) -> Result<Report, Error> {
        fs::create_dir_all(&self.out).map_err(|error| file_error(&self.out, error))?;
        let mut files = Vec::new();
        let issuer = self.authority(&mut files)?;
        for name in &self.names {
            self.instance(name, &issuer, &mut files)?;
        }
        let text = files.iter().map(|file| format!("{file}\n")).collect();
        Ok(Report::done(text, json!({ "files": files })))
    }

    /// Loads the authority's key from the directory, or creates an authority there.
    fn authority(&self, files: &mut Vec<String>) -> Result<Issuer<'static, KeyPair>, Error> {
        let params = authority_params()?;
        let path = self.out.join("authority.key.pem");
        if path.exists() {
            let pem = fs::read_to_string(&path).map_err(|error| file_error(&path, error))?;
            let key = KeyPair::from_pem(&pem).map_err(|error| file_error(&path, error))?;
            return Ok(Issuer::new(params, key));
        }
        let key = KeyPair::generate().map_err(Error::failed)?;
        let certificate = params.self_signed(&key).map_err(Error::failed)?;
        self.write("authority.pem", &certificate.pem(), CERTIFICATE_MODE, files)?;
        self.write("authority.key.pem", &key.serialize_pem(), KEY_MODE, files)?;
        Ok(Issuer::new(params, key))
    }

    fn instance(
        &self,
        name: &str,
        issuer: &Issuer<'_, KeyPair>,
        files: &mut Vec<String>,
    ) -> Result<(), Error> {
        let params = instance_params(name)?;
        let key = KeyPair::generate().map_err(Error::failed)?;
        let certificate = params.signed_by(&key, issuer).map_err(Error::failed)?;
        let file = format!("{name}.pem");
        self.write(&file, &certificate.pem(), CERTIFICATE_MODE, files)?;
        let file = format!("{name}.key.pem");
        self.write(&file, &key.serialize_pem(), KEY_MODE, files)
    }

    /// Writes a new file. Fails if it exists, so that a key is never overwritten.
    fn write(
        &self,
        name: &str,
        content: &str,
        mode: u32,
        files: &mut Vec<String>,
    ) -> Result<(), Error> {
        let path = self.out.join(name);
        OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(mode)
            .open(&path)
            .and_then(|mut file| file.write_all(content.as_bytes()))
            .map_err(|error| file_error(&path, error))?;
        files.push(path.display().to_string());
        Ok(())
    }
}

fn authority_params() -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new([]).map_err(Error::failed)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, AUTHORITY_NAME);
    Ok(params)
}

fn instance_params(name: &str) -> Result<CertificateParams, Error> {
    // Peers verify the instance name as a DNS name. The name "authority" is reserved, since the
    // files of that name belong to the authority.
    let is_valid = rustls::pki_types::DnsName::try_from(name).is_ok();
    if !is_valid || name == "authority" {
        return Err(Error::failed(format!(
            "instance name {name:?}: must be usable as a DNS name and differ from \"authority\""
        )));
    }
    let mut params = CertificateParams::new([name.to_owned()]).map_err(Error::failed)?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    Ok(params)
}

fn file_error(path: &Path, error: impl std::fmt::Display) -> Error {
    Error::failed(format!("{}: {error}", path.display()))
}
