//! Handles calls of plain services.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{
    header::CONTENT_TYPE,
    http::request::Parts, //
};

use super::{
    handler::{
        Envelope,
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

/// Resolves the service of a call and admits the call.
pub(super) fn accept(
    shared: &Arc<Shared>,
    envelope: &mut Envelope,
    parts: &Parts,
    body: Bytes,
) -> Result<(Job, Ticket), Problem> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let (name, subpath) = path::split_service(path)?;
    envelope.set_target(name);
    let catalogue = shared.context.view.catalogue();
    let (service, access) = catalogue
        .resolve_service(&envelope.institution, name)
        .map_err(|_| not_found())?;
    let key = header::idempotency_key(&parts.headers)?;
    shared.check_fresh(service.stale_limit_s)?;
    let ticket = shared.admit(access)?;
    let method = parts.method.as_str();
    let non_repeatable = key.is_some() || !service.is_idempotent(method, subpath);
    let content_type = parts.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let job = Job {
        locality: None,
        request: Request {
            id: envelope.id.clone(),
            institution: envelope.institution.clone(),
            timeout_ms: 0,
            priority: access.priority,
            max_queue: access.max_queue,
            work: Work::Call(wire::Call {
                service: service.name.clone(),
                method: method.to_owned(),
                path: subpath.to_owned(),
                content_type: content_type.map(str::to_owned),
                key,
            }),
        },
        body,
        started_at: envelope.started_at,
        deadline: envelope.deadline,
        pool: service.pool.clone(),
        kind: if non_repeatable {
            Kind::NonRepeatable
        } else {
            Kind::Repeatable
        },
    };
    Ok((job, ticket))
}
