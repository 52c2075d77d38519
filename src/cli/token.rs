//! `chestnuthub token`.

use bpaf::{
    Parser,
    construct, //
};
use serde_json::json;
use sha2::{
    Digest,
    Sha256, //
};

use super::exit::{
    Error,
    Report, //
};

/// Number of random bytes in a token.
const TOKEN_BYTES: usize = 32;

/// Creates a bearer token and its digest.
#[derive(Debug, Clone)]
pub(super) struct Command {
    pub(super) json: bool,
}

pub(super) fn options() -> impl Parser<Command> {
    let json = super::json();
    construct!(Command { json })
}

impl Command {
    pub(super) fn run(&self) -> Result<Report, Error> {
        let mut bytes = [0; TOKEN_BYTES];
        rustls::crypto::ring::default_provider()
            .secure_random
            .fill(&mut bytes)
            .map_err(|_| Error::failed("the operating system gives no random bytes"))?;
        let token = hex(&bytes);
        let digest = hex(&Sha256::digest(&token));
        let text = format!("token  {token}\nsha256 {digest}\n");
        Ok(Report::done(
            text,
            json!({ "token": token, "sha256": digest }),
        ))
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
