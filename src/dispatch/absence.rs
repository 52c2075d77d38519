//! Models that servers have said they lack.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::timer::Time;

/// Time for which a server is not asked for a model after it has said that it lacks it. It doubles
/// with each further time, up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Maximum time for which a server is not asked for a model.
const MAX_PAUSE: Duration = Duration::from_millis(8_000);

/// Time for a server to answer a request that asks for the model again.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Since when and for how long a server is not asked for a model.
#[derive(Debug, Clone, Copy)]
struct Entry {
    until: Time,
    pause: Duration,
}

/// Models and adapters that a server has said it lacks, although it is described as holding them.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::Absence;
/// use chestnuthub::timer::Time;
///
/// let key = ("m1".to_owned(), None);
/// let mut absence = Absence::default();
/// absence.record(&key, Time::from_millis(0));
/// assert!(absence.contains(&key, Time::from_millis(400)));
/// assert!(!absence.contains(&key, Time::from_millis(500)));
/// absence.record(&key, Time::from_millis(600));
/// assert!(absence.contains(&key, Time::from_millis(1_500)));
/// ```
#[derive(Debug, Default)]
pub struct Absence {
    entries: BTreeMap<(String, Option<String>), Entry>,
}

impl Absence {
    /// Records that the server has said that it lacks the model or adapter.
    pub fn record(&mut self, key: &(String, Option<String>), now: Time) {
        let known = self.entries.get(key);
        let pause = known.map_or(MIN_PAUSE, |known| (known.pause * 2).min(MAX_PAUSE));
        let until = now + pause;
        self.entries.insert(key.clone(), Entry { until, pause });
    }

    /// Records that the server is asked again after a pause. No other request asks it until it has
    /// had time to answer.
    pub fn ask(&mut self, key: &(String, Option<String>), now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.until = now + ANSWER_TIME;
        }
    }

    /// Returns whether the server should not be asked for the model or adapter at present.
    pub fn contains(&self, key: &(String, Option<String>), now: Time) -> bool {
        self.entries.get(key).is_some_and(|entry| now < entry.until)
    }

    /// Ends the pauses for a model, because the server is described anew. One request asks the server
    /// and the others wait for the answer, since the description may be older than what the server
    /// has said.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::dispatch::Absence;
    /// use chestnuthub::timer::Time;
    ///
    /// let key = ("m1".to_owned(), None);
    /// let mut absence = Absence::default();
    /// absence.record(&key, Time::from_millis(0));
    /// absence.end_pause("m1", Time::from_millis(100));
    /// assert!(!absence.contains(&key, Time::from_millis(100)));
    /// absence.ask(&key, Time::from_millis(100));
    /// assert!(absence.contains(&key, Time::from_millis(101)));
    /// ```
    pub fn end_pause(&mut self, model: &str, now: Time) {
        let entries = self.entries.iter_mut();
        for (_, entry) in entries.filter(|((known, _), _)| known == model) {
            entry.until = entry.until.min(now);
        }
    }

    /// Forgets what the server has said of a model, because it has changed since.
    pub fn forget(&mut self, model: &str) {
        self.entries.retain(|(known, _), _| known != model);
    }

    /// Forgets everything, because the server has started anew.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
