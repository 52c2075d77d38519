//! Forwards calls to the plain service beside this agent.

use std::time::Duration;

use bytes::Bytes;

use super::Response;
use crate::{
    catalogue,
    claim::{
        Answer, Ending, Key, Refusal, Response as ClaimResponse,
        call::{
            self,
            Call, //
        },
        executor::Executor,
        key::{
            self,
            MIN_RETENTION, //
        },
        scope,
    },
    client::service::Service,
    context::Context,
    id, report,
    settings::Role,
    timer::{
        Time,
        unix_millis, //
    },
    wire::{
        self,
        Reason, //
    },
};

/// Maximum timeout of a request; longer ones are reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(300);

/// Delay after which a refused client may retry.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Handler of the calls of the plain service beside this agent.
#[derive(Debug, Clone)]
pub(crate) struct Calls {
    executor: Executor,
    /// Whether the log retains claims for as long as their keys are accepted.
    keeps_claims: bool,
}

impl Calls {
    /// Creates a handler for the service at the base URL.
    pub(crate) fn start(context: Context, url: &str) -> Self {
        let retention_h = context.settings.platform.log_retention_h;
        let keeps_claims = retention_h >= MIN_RETENTION.as_secs() / 3_600;
        if !keeps_claims {
            let needed = MIN_RETENTION.as_secs() / 3_600;
            report::warn(
                "claims_refused",
                &[("retention_h", &retention_h), ("needed_h", &needed)],
            );
        }
        Self {
            executor: Executor::new(context, Service::new(url)),
            keeps_claims,
        }
    }

    /// Runs a call. A call with an idempotency key runs at most once; any other call is passed
    /// through, or refused if the catalogue lists it as not idempotent.
    ///
    /// # Errors
    ///
    /// Returns a refusal. If its `not_run` is true, the call has not run and will not run.
    pub(crate) async fn run(
        &self,
        request: &wire::Request,
        call: &wire::Call,
        body: Bytes,
    ) -> Result<Response, wire::Refusal> {
        let deadline = Time::now() + Duration::from_millis(request.timeout_ms).min(MAX_TIMEOUT);
        let result = self.dispatch(request, call, body, deadline).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(refusal) => {
                log_refusal(&request.id, refusal);
                refusal.reason.as_str()
            }
        };
        self.context().metrics.count("call", outcome);
        result.map_err(to_wire)
    }

    async fn dispatch(
        &self,
        request: &wire::Request,
        call: &wire::Call,
        body: Bytes,
        deadline: Time,
    ) -> Result<Response, Refusal> {
        let key = self.claim_key(request, call).map_err(not_run)?;
        let admitted = self.executor.admit(&request.id, call, body, deadline);
        let call = admitted.ok_or(not_run(Reason::Busy))?;
        let Some(key) = key else {
            return self.pass_through(call).await;
        };
        match self.executor.run(key, call).await {
            Answer::Response(response) => Ok(to_response(&response)),
            Answer::Refused(refusal) => Err(refusal),
        }
    }

    /// Returns the key under which the call is claimed, or `None` if it is passed through.
    fn claim_key(&self, request: &wire::Request, call: &wire::Call) -> Result<Option<Key>, Reason> {
        let is_non_idempotent = self.is_non_idempotent(call)?;
        let Some(key) = call.key else {
            return if is_non_idempotent {
                Err(Reason::BadKey)
            } else {
                Ok(None)
            };
        };
        let key =
            Key::accept(key, &request.institution, unix_millis()).map_err(|error| match error {
                key::Error::Malformed => Reason::BadKey,
                key::Error::Expired => Reason::KeyExpired,
            })?;
        if self.keeps_claims {
            Ok(Some(key))
        } else {
            Err(Reason::LogDown)
        }
    }

    /// Returns whether the catalogue lists the call as not idempotent, or why the call is refused.
    fn is_non_idempotent(&self, call: &wire::Call) -> Result<bool, Reason> {
        // The path is appended to the service's address; without the slash it could extend the host.
        if !call.path.starts_with('/') {
            return Err(Reason::Unknown);
        }
        let catalogue = self.context().view.catalogue();
        let key = catalogue::Key::Service(call.service.clone());
        let Some(catalogue::Item::Service(service)) = catalogue.get(&key) else {
            return Err(Reason::Unknown);
        };
        let Role::Agent(agent) = &self.context().settings.role else {
            return Err(Reason::Unknown);
        };
        if service.pool != agent.pool {
            return Err(Reason::Unknown);
        }
        let limit = service.stale_limit_s.map(Duration::from_secs);
        if limit.is_some_and(|limit| self.is_stale(limit)) {
            return Err(Reason::LogDown);
        }
        let mut listed = service.non_idempotent.iter();
        Ok(listed.any(|listed| scope::covers(listed, &call.method, &call.path)))
    }

    fn is_stale(&self, limit: Duration) -> bool {
        let synced_at = self.context().view.synced_at();
        synced_at.is_none_or(|at| Time::now() - at > limit)
    }

    /// Sends a call without a claim, which is allowed because the call may be repeated.
    async fn pass_through(&self, call: Call) -> Result<Response, Refusal> {
        let service = self.executor.service().clone();
        let timeout = call.remaining();
        let send = move || call::send(&service, &call, timeout);
        let sent = self.context().runtime.spawn_blocking(send).await;
        match sent.unwrap_or(Ending::Unknown) {
            Ending::Response(response) if response.body.is_some() => Ok(to_response(&response)),
            Ending::NotSent => Err(not_run(Reason::Backend)),
            Ending::Response(_) | Ending::Unknown => Err(may_have_run(Reason::Backend)),
        }
    }

    /// Waits until no call is waiting or running and all results are written.
    pub(crate) async fn drained(&self) {
        self.executor.drained().await;
    }

    fn context(&self) -> &Context {
        self.executor.context()
    }
}

fn to_response(response: &ClaimResponse) -> Response {
    let ClaimResponse {
        status,
        content_type,
        body,
    } = response;
    match body {
        Some(body) => Response {
            status: *status,
            content_type: content_type.clone(),
            body: Bytes::copy_from_slice(&body.0),
        },
        // The body was too large to be stored, so a retry learns only that the call completed.
        None => Response {
            status: *status,
            content_type: "application/json".to_owned(),
            body: Bytes::from_static(br#"{"completed":true,"body_kept":false}"#),
        },
    }
}

fn log_refusal(request: &id::Request, refusal: &Refusal) {
    report::info(
        "refused",
        &[
            ("request", request),
            ("reason", &refusal.reason),
            ("not_run", &refusal.not_run),
        ],
    );
}

fn not_run(reason: Reason) -> Refusal {
    let not_run = true;
    Refusal { reason, not_run }
}

fn may_have_run(reason: Reason) -> Refusal {
    let not_run = false;
    Refusal { reason, not_run }
}

fn to_wire(refusal: Refusal) -> wire::Refusal {
    let retry = match refusal.reason {
        Reason::LogDown
        | Reason::Busy
        | Reason::Deadline
        | Reason::OutcomeUnknown
        | Reason::Backend => RETRY_DELAY,
        _ => Duration::ZERO,
    };
    wire::Refusal {
        reason: refusal.reason,
        not_run: refusal.not_run,
        retry_after_ms: u64::try_from(retry.as_millis()).unwrap_or(u64::MAX),
        load: wire::Load::default(),
    }
}
