//! Completions by models, and the list of models.

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
        Call,
        not_found,
        whole, //
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

/// Bytes of the prompt's start by which replicas are preferred.
const PREFIX_BYTES: usize = 256;

/// What the entry reads from the body of a completion request.
#[derive(Debug, Deserialize)]
struct Ask {
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

/// Takes a completion request in.
pub(super) fn take(
    shared: &Arc<Shared>,
    call: &mut Call,
    body: Bytes,
) -> Result<(Job, Ticket), Problem> {
    let ask: Ask = serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
    call.set_target(&ask.model);
    let catalogue = shared.context.view.catalogue();
    let target = catalogue
        .resolve(&call.institution, &ask.model)
        .map_err(|_| not_found())?;
    shared.check_fresh(target.model.stale_limit_s)?;
    let ticket = shared.admit(target.access)?;
    let adapter = target.adapter.map(|adapter| adapter.name.clone());
    let job = Job {
        locality: Some(locality(adapter.as_ref(), &ask.messages)),
        request: Request {
            id: call.id.clone(),
            institution: call.institution.clone(),
            timeout_ms: 0,
            priority: target.access.priority,
            max_queue: target.access.max_queue,
            work: Work::Chat(Chat {
                model: target.model.id(),
                adapter,
                stream: ask.stream,
                resume_from: 0,
            }),
        },
        body,
        started_at: call.started_at,
        deadline: call.deadline,
        pool: target.model.pool.clone(),
        kind: Kind::Chat,
    };
    Ok((job, ticket))
}

/// Says where the body is wrong; what is there belongs to the caller and into no log.
fn malformed(error: &serde_json::Error) -> Problem {
    let (line, column) = (error.line(), error.column());
    let detail = format!("the body is no completion request: line {line}, column {column}");
    Problem::not_run(400, "bad_request", detail)
}

/// Returns the key by which replicas are preferred: the adapter and the start of the prompt.
fn locality(adapter: Option<&id::Adapter>, messages: &[Message]) -> String {
    let mut prefix = String::new();
    for message in messages {
        match &message.content {
            Value::String(text) => prefix.push_str(text),
            other => prefix.push_str(&other.to_string()),
        }
        if prefix.len() >= PREFIX_BYTES {
            break;
        }
    }
    prefix.truncate(prefix.floor_char_boundary(PREFIX_BYTES));
    format!("{}/{prefix}", adapter.map_or("", id::Adapter::as_str))
}

/// Answers with the models that the institution may call.
pub(super) fn models(shared: &Shared, call: &Call) -> Response<Body> {
    let catalogue = shared.context.view.catalogue();
    let models: Vec<Value> = catalogue
        .models_of(&call.institution)
        .map(|model| json!({ "id": model.id(), "object": "model" }))
        .collect();
    let list = json!({ "object": "list", "data": models });
    whole(&call.echo, "application/json", list.to_string())
}
