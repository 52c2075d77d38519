//! The bytes that a gateway holds for its clients.

use chestnuthub::dispatch::Memory;

const LIMIT: usize = 10_000;
const OWN_LIMIT: usize = 1_000;
const MAX_PIECE: usize = 400;
const CLIENTS: usize = 40;

/// Guards against slow clients that together take all memory, against one that takes that of others,
/// and against one that waits for good because of them.
#[test]
fn slow_readers_stay_within_the_limit_and_block_nobody() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let memory = Memory::new(LIMIT);
        let holds: Vec<_> = (0..CLIENTS).map(|_| memory.hold()).collect();
        let mut held = vec![Vec::new(); CLIENTS];
        let is_fast: Vec<_> = (0..CLIENTS).map(|_| random.u32(0..4) == 0).collect();
        for _ in 0..5_000 {
            let client = random.usize(0..CLIENTS);
            let pieces: &mut Vec<usize> = &mut held[client];
            let piece = random.usize(1..=MAX_PIECE);
            let may_add = holds[client].may_add(piece, OWN_LIMIT);
            assert!(
                may_add || !pieces.is_empty(),
                "seed {seed}: one waits for others"
            );
            if may_add {
                holds[client].add(piece);
                pieces.push(piece);
            }
            if is_fast[client] {
                holds[client].remove(pieces.remove(0));
            }
            let own: usize = pieces.iter().sum();
            assert!(own <= OWN_LIMIT, "seed {seed}: {own}");
            let most = LIMIT + CLIENTS * MAX_PIECE;
            assert!(memory.held() <= most, "seed {seed}: {}", memory.held());
        }
        let total: usize = held.iter().flatten().sum();
        assert_eq!(memory.held(), total, "seed {seed}");
        drop(holds);
        assert_eq!(memory.held(), 0, "seed {seed}");
    }
}

/// Guards against bodies that together exceed the limit, and against room that is lost with a request
/// that found none.
#[test]
fn bodies_are_refused_beyond_the_limit() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let memory = Memory::new(LIMIT);
        let mut holds = Vec::new();
        for _ in 0..1_000 {
            let hold = memory.hold();
            let size = random.usize(0..LIMIT / 3);
            let expected = memory.held() + size <= LIMIT;
            assert_eq!(hold.try_add(size), expected, "seed {seed}");
            if expected {
                holds.push(hold);
            }
            if !holds.is_empty() && random.bool() {
                holds.swap_remove(random.usize(0..holds.len()));
            }
            assert!(memory.held() <= LIMIT, "seed {seed}");
        }
        drop(holds);
        assert_eq!(memory.held(), 0, "seed {seed}");
    }
}
