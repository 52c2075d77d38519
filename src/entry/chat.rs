//! Handles completion requests and the list of models.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};

use super::{
    body::Body,
    handler::{
        Envelope,
        full_response,
        not_found, //
    },
    job::Job,
    problem::Problem,
    retry::Kind,
    shared::{
        Shared,
        Ticket, //
    },
};
use crate::{
    id,
    wire::{
        Chat,
        Request,
        Work, //
    },
};

/// Maximum length in bytes of the prompt's prefix that selects the preferred replica.
const MAX_PREFIX_BYTES: usize = 256;

/// The fields of a completion request's body that the entry reads.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

/// Resolves the target of a completion request and admits the request.
pub(super) fn accept(
    shared: &Arc<Shared>,
    envelope: &mut Envelope,
    body: Bytes,
) -> Result<(Job, Ticket), Problem> {
    let completion: Completion =
        serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
    envelope.set_target(&completion.model);
    let catalogue = shared.context.view.catalogue();
    let target = catalogue
        .resolve(&envelope.institution, &completion.model)
        .map_err(|_| not_found())?;
    shared.check_fresh(target.model.stale_limit_s)?;
    let ticket = shared.admit(target.access)?;
    let adapter = target.adapter.map(|adapter| adapter.name.clone());
    let job = Job {
        locality: Some(locality(adapter.as_ref(), &completion.messages)),
        request: Request {
            id: envelope.id.clone(),
            institution: envelope.institution.clone(),
            timeout_ms: 0,
            priority: target.access.priority,
            max_queue: target.access.max_queue,
            work: Work::Chat(Chat {
                model: target.model.id(),
                adapter,
                stream: completion.stream,
                resume_from: 0,
            }),
        },
        body,
        started_at: envelope.started_at,
        deadline: envelope.deadline,
        pool: target.model.pool.clone(),
        kind: Kind::Chat,
    };
    Ok((job, ticket))
}

/// Returns the problem of a malformed body. It gives the position of the error but not the content,
/// which belongs to the client and must not reach a log.
fn malformed(error: &serde_json::Error) -> Problem {
    let (line, column) = (error.line(), error.column());
    let detail = format!("the body is no completion request: line {line}, column {column}");
    Problem::not_run(400, "bad_request", detail)
}

/// Returns the key that selects the preferred replica: the adapter and the prefix of the prompt.
fn locality(adapter: Option<&id::Adapter>, messages: &[Message]) -> String {
    let mut prefix = String::new();
    for message in messages {
        match &message.content {
            Value::String(text) => prefix.push_str(text),
            other => prefix.push_str(&other.to_string()),
        }
        if prefix.len() >= MAX_PREFIX_BYTES {
            break;
        }
    }
    prefix.truncate(prefix.floor_char_boundary(MAX_PREFIX_BYTES));
    format!("{}/{prefix}", adapter.map_or("", id::Adapter::as_str))
}

/// Returns the response that lists the models that the institution may call.
pub(super) fn models(shared: &Shared, envelope: &Envelope) -> Response<Body> {
    let catalogue = shared.context.view.catalogue();
    let models: Vec<Value> = catalogue
        .models_of(&envelope.institution)
        .map(|model| json!({ "id": model.id(), "object": "model" }))
        .collect();
    let list = json!({ "object": "list", "data": models });
    full_response(&envelope.echoed_id, "application/json", list.to_string())
}
