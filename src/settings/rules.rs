//! Rules that involve several fields, and checks of the files named in the settings.

use std::{
    collections::BTreeMap,
    path::Path, //
};

use rustls::pki_types::{
    CertificateDer,
    PrivateKeyDer,
    pem::PemObject, //
};

use super::{
    Agent,
    Backend,
    Entry,
    Role,
    Settings, //
};
use crate::jsonc::{
    Document,
    Finding,
    Findings, //
};

/// Returns an error if there are findings.
pub(super) fn into_result(findings: Vec<Finding>) -> Result<(), Findings> {
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings.into_iter().collect())
    }
}

/// Returns a finding for each field that contradicts another field.
pub(super) fn check_fields(settings: &Settings, document: &Document) -> Vec<Finding> {
    match &settings.role {
        Role::Entry(entry) => check_entry(settings, entry, document),
        Role::Agent(agent) => check_agent(agent, document).into_iter().collect(),
    }
}

fn check_entry(settings: &Settings, entry: &Entry, document: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    if entry.caller_addr == settings.operator_addr {
        let message = "must differ from operator_addr";
        findings.push(document.finding("role.entry.caller_addr", message));
    }
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for (institution, digests) in &entry.institutions {
        for (index, digest) in digests.iter().enumerate() {
            let owner = owners.insert(digest.to_ascii_lowercase(), institution.as_str());
            if let Some(owner) = owner {
                let path = format!("role.entry.institutions.{institution}[{index}]");
                let message = format!("the digest is already given for institution {owner}");
                findings.push(document.finding(&path, message));
            }
        }
    }
    findings
}

fn check_agent(agent: &Agent, document: &Document) -> Option<Finding> {
    let Backend::Engine {
        memory_mb,
        adapter_memory_mb,
        ..
    } = &agent.backend
    else {
        return None;
    };
    let path = "role.agent.backend.engine.adapter_memory_mb";
    let message = format!("must be at most memory_mb, {memory_mb}");
    (adapter_memory_mb > memory_mb).then(|| document.finding(path, message))
}

/// Returns a finding for each file that can't be read or doesn't hold a certificate or key as its
/// field requires.
pub(super) fn check_files(settings: &Settings, document: &Document) -> Vec<Finding> {
    let tls = &settings.tls;
    let certificate =
        |path: &Path| CertificateDer::from_pem_file(path).map_err(|error| error.to_string());
    let key = |path: &Path| PrivateKeyDer::from_pem_file(path).map_err(|error| error.to_string());
    let checks = [
        (
            "tls.authority",
            &tls.authority,
            certificate(&tls.authority).err(),
        ),
        (
            "tls.certificate",
            &tls.certificate,
            certificate(&tls.certificate).err(),
        ),
        ("tls.key", &tls.key, key(&tls.key).err()),
    ];
    checks
        .into_iter()
        .filter_map(|(path, file, error)| {
            let message = format!("{}: {}", file.display(), error?);
            Some(document.finding(path, message))
        })
        .collect()
}
