//! Origins of streams: what is kept, and what a connection has still to be sent.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chestnuthub::{
    link::{
        Demand,
        Origin,
        Origins, //
    },
    timer::Time,
};
use fastrand::Rng;

/// Number of schedules.
const SCHEDULES: u64 = 2_000;

/// A gateway or hub that passes its origins on to others. Its state is lost when it starts anew.
#[derive(Debug, Default)]
struct Node {
    known: Origins,
    /// Positions of the connections to the other nodes.
    positions: BTreeMap<usize, u64>,
}

/// Guards against a stream that is taken for one of another version, and against origins that are
/// not passed on, when nodes lose their state, connections start anew and origins expire.
#[test]
fn a_stream_has_one_origin_wherever_it_is_known() {
    for seed in 0..SCHEDULES {
        let mut rng = Rng::with_seed(seed);
        let mut nodes: Vec<_> = (0..4).map(|_| Node::default()).collect();
        let mut begun = BTreeMap::new();
        let mut now_ms = 0;
        for stream in 0..200 {
            now_ms += rng.u64(0..1_500);
            let now = Time::from_millis(now_ms);
            let (from, to) = (rng.usize(..4), rng.usize(..4));
            match rng.u32(..10) {
                0 => nodes[from] = Node::default(),
                1 => nodes[from].positions.clear(),
                2..=5 => {
                    let version = rng.u64(..2);
                    begun.insert(stream, version);
                    nodes[from].known.record(Origin { stream, version }, now);
                }
                _ if from != to => {
                    let position = nodes[from].positions.get(&to).copied().unwrap_or_default();
                    let (origins, next) = nodes[from].known.since(position);
                    nodes[from].positions.insert(to, next);
                    for origin in origins {
                        nodes[to].known.record(origin, now);
                    }
                }
                _ => (),
            }
            for node in &nodes {
                for (stream, version) in &begun {
                    let known = node.known.version(*stream);
                    assert!(known.is_none_or(|known| known == *version), "seed {seed}");
                }
            }
        }
    }
}

/// Guards against a connection that is sent an origin twice, or never, while old ones expire.
#[test]
fn each_origin_is_sent_once_on_a_connection() {
    for seed in 0..SCHEDULES {
        let mut rng = Rng::with_seed(seed);
        let mut origins = Origins::default();
        let (mut position, mut sent, mut now) = (0, Vec::new(), Time::from_millis(0));
        for stream in 0..300 {
            now = now + Duration::from_millis(rng.u64(0..2_000));
            origins.record(Origin { stream, version: 1 }, now);
            // A connection that is served within the time for which origins are kept misses none.
            if rng.u32(..8) == 0 || stream % 20 == 19 {
                let (new, next) = origins.since(position);
                sent.extend(new.into_iter().map(|origin| origin.stream));
                position = next;
            }
        }
        let expected: Vec<_> = (0..300).collect();
        assert_eq!(sent, expected, "seed {seed}");
    }
}

/// Guards against a connection that fails again and again, because all origins of a large fleet do
/// not fit into one message.
#[test]
fn origins_are_sent_in_messages_of_a_limited_size() {
    const STREAMS: u64 = 20_000;
    let mut origins = Origins::default();
    for stream in 0..STREAMS {
        let version = u64::MAX;
        let stream = u64::MAX - stream;
        origins.record(Origin { stream, version }, Time::from_millis(0));
    }
    let (mut position, mut sent) = (0, 0);
    while origins.has_new(position) {
        let (new, next) = origins.since(position);
        let demand = Demand {
            origins: new.clone(),
            ..Demand::default()
        };
        let bytes = postcard::to_stdvec(&demand).expect("a message");
        assert!(bytes.len() < 64 << 10, "{} bytes", bytes.len());
        assert!(next > position);
        sent += new.len() as u64;
        position = next;
    }
    assert_eq!(sent, STREAMS);
}

/// Guards against memory that grows with the number of all streams instead of those that may still
/// be taken up.
#[test]
fn origins_are_dropped_when_no_client_takes_their_stream_up() {
    let mut origins = Origins::default();
    for stream in 0..10_000 {
        let now = Time::from_millis(stream * 100);
        origins.record(Origin { stream, version: 1 }, now);
    }
    assert!(origins.len() <= 601, "{}", origins.len());
    assert_eq!(origins.version(0), None);
    assert_eq!(origins.version(9_999), Some(1));
}
