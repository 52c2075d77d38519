//! Calls of plain services.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{
    header::CONTENT_TYPE, //
    http::request::Parts,
};

use super::{
    handler::{
        Call,
        not_found, //
    },
    header,
    job::Job,
    path,
    problem::Problem,
    retry::Kind,
    shared::{
        Shared,
        Ticket, //
    },
};
use crate::wire::{
    self,
    Request,
    Work, //
};

/// Takes a call of a plain service in.
pub(super) fn take(
    shared: &Arc<Shared>,
    call: &mut Call,
    parts: &Parts,
    body: Bytes,
) -> Result<(Job, Ticket), Problem> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let (name, below) = path::split_service(path)?;
    call.set_target(name);
    let catalogue = shared.context.view.catalogue();
    let (service, access) = catalogue
        .resolve_service(&call.institution, name)
        .map_err(|_| not_found())?;
    let key = header::idempotency_key(&parts.headers)?;
    shared.check_fresh(service.stale_limit_s)?;
    let ticket = shared.admit(access)?;
    let method = parts.method.as_str();
    let once = key.is_some() || !service.is_idempotent(method, below);
    let content_type = parts.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let job = Job {
        locality: None,
        request: Request {
            id: call.id.clone(),
            institution: call.institution.clone(),
            timeout_ms: 0,
            priority: access.priority,
            max_queue: access.max_queue,
            work: Work::Call(wire::Call {
                service: service.name.clone(),
                method: method.to_owned(),
                path: below.to_owned(),
                content_type: content_type.map(str::to_owned),
                key,
            }),
        },
        body,
        started_at: call.started_at,
        deadline: call.deadline,
        pool: service.pool.clone(),
        kind: if once { Kind::Once } else { Kind::Repeatable },
    };
    Ok((job, ticket))
}
