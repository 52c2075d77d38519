//! Reads the bodies of clients' requests.

use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::{
    Body,
    Incoming, //
};
use tokio::time::timeout;

use super::{
    response::Failure,
    state::State, //
};
use crate::{
    deployment::Configuration,
    dispatch::Hold,
    timer::Time, //
};

/// Time after which a client may retry whose body did not arrive in time or found no room.
const RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// Reads a body. The memory that it takes is held as long as the second value.
pub(super) async fn read(
    state: &State,
    configuration: &Configuration,
    body: Incoming,
    deadline: Time,
) -> Result<(Bytes, Hold), Failure> {
    let hold = state.bodies.hold();
    let stated = body.size_hint().exact().unwrap_or_default();
    let stated = usize::try_from(stated).unwrap_or(usize::MAX);
    if stated > configuration.limits.body_bytes {
        return Err(Failure::TooLarge);
    }
    if !hold.try_add(stated) {
        return Err(no_room());
    }
    let limited = Limited::new(body, configuration.limits.body_bytes);
    let remaining = deadline.remaining(Time::now());
    let body = timeout(remaining, collect(limited, &hold, stated)).await;
    let body = body.map_err(|_| Failure::Refused("the body came too late", RETRY_AFTER))?;
    Ok((body?, hold))
}

async fn collect(
    mut body: Limited<Incoming>,
    hold: &Hold,
    stated: usize,
) -> Result<Bytes, Failure> {
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                Failure::TooLarge
            } else {
                Failure::Malformed("the body is incomplete".to_owned())
            }
        })?;
        let data = frame.into_data().unwrap_or_default();
        // The room for a stated length was taken before.
        if stated == 0 && !hold.try_add(data.len()) {
            return Err(no_room());
        }
        if first.is_empty() {
            first = data;
            continue;
        }
        if all.is_empty() {
            all.reserve(stated);
            all.extend_from_slice(&first);
        }
        all.extend_from_slice(&data);
    }
    Ok(if all.is_empty() { first } else { all.freeze() })
}

fn no_room() -> Failure {
    Failure::Refused("no memory for the body", RETRY_AFTER)
}
