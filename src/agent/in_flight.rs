//! Counts the requests in flight, so that a shutdown can wait for them.

use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::watch;

use crate::context::Context;

/// Counter of the requests in flight, also exported as a metric.
#[derive(Debug)]
pub(super) struct Counter {
    count: watch::Sender<usize>,
    gauge: Gauge,
}

/// Counts one request in flight until dropped.
#[derive(Debug)]
pub(super) struct Guard<'a> {
    counter: &'a Counter,
}

impl Counter {
    /// Creates a counter at zero.
    pub(super) fn new(context: &Context) -> Self {
        Self {
            count: watch::Sender::new(0),
            gauge: context.metrics.in_flight.clone(),
        }
    }

    /// Counts a request until the returned guard is dropped.
    pub(super) fn begin(&self) -> Guard<'_> {
        self.count.send_modify(|count| *count += 1);
        self.gauge.inc();
        Guard { counter: self }
    }

    /// Returns the number of requests in flight.
    pub(super) fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no request is in flight.
    pub(super) async fn wait_until_zero(&self) {
        // Fails only if the sender is dropped, but `self` owns the sender.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.counter.count.send_modify(|count| *count -= 1);
        self.counter.gauge.dec();
    }
}
