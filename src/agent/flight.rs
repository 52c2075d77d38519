//! Counts the requests in flight, so that a shutdown can wait for them.

use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::watch;

use crate::context::Context;

/// The requests in flight.
#[derive(Debug)]
pub(super) struct Flights {
    count: watch::Sender<usize>,
    gauge: Gauge,
}

/// A request in flight, until it is dropped.
#[derive(Debug)]
pub(super) struct Flight<'a> {
    flights: &'a Flights,
}

impl Flights {
    /// Starts counting.
    pub(super) fn new(context: &Context) -> Self {
        Self {
            count: watch::Sender::new(0),
            gauge: context.metrics.in_flight.clone(),
        }
    }

    /// Counts a request until the returned value is dropped.
    pub(super) fn begin(&self) -> Flight<'_> {
        self.count.send_modify(|count| *count += 1);
        self.gauge.inc();
        Flight { flights: self }
    }

    /// Returns the number of requests in flight.
    pub(super) fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no request is in flight.
    pub(super) async fn ended(&self) {
        // Fails only if the sender is gone, which lives as long as `self`.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.flights.count.send_modify(|count| *count -= 1);
        self.flights.gauge.dec();
    }
}
