//! Sharing of an account's allowance over all gateways, by seeded schedules.

mod allowance_support;

use allowance_support::{
    Load,
    Outcome,
    Rule,
    Trouble,
    World, //
};

/// Numbers of gateways and hubs, and of seeds.
const SIZES: [(usize, usize, u64); 3] = [(5, 4, 4), (30, 12, 2), (330, 18, 1)];

/// Units per second of accounts: of a large one, a middle one and the smallest one.
const RATES: [f64; 3] = [364_569.0, 107_307.0, 29_000.0];

/// An account that is used as usual, then asks for several times its allowance.
const HOT: &[(u64, f64)] = &[(2, 0.55), (6, 4.2), (18, 0.55)];

/// An account that is used as usual.
const SOUND: &[(u64, f64)] = &[(2, 0.55)];

/// An account that always asks for more than it may use.
const EXCESS: &[(u64, f64)] = &[(2, 1.3), (10, 3.0), (18, 8.0)];

const RESTART: &[Trouble] = &[Trouble::Restart(10, 0.55)];
const RESTART_ALL: &[Trouble] = &[Trouble::Restart(10, 1.0)];
const FREEZE: &[Trouble] = &[Trouble::Freeze(9, 0.3, 700)];
const LONG_FREEZE: &[Trouble] = &[Trouble::Freeze(9, 0.3, 3_000)];
const CUT: &[Trouble] = &[Trouble::Cut(5, 0.17, 6)];
const CUT_ALL: &[Trouble] = &[Trouble::Cut(8, 1.0, 6)];
const REGIONS: &[Trouble] = &[Trouble::Regions(5, 7)];
const HUBS: &[Trouble] = &[Trouble::Hubs(9)];
const MIXED: &[Trouble] = &[
    Trouble::Restart(7, 0.5),
    Trouble::Freeze(8, 0.2, 900),
    Trouble::Hubs(9),
    Trouble::Cut(10, 0.2, 3),
    Trouble::Restart(12, 1.0),
];
const TROUBLES: [&[Trouble]; 9] = [
    RESTART,
    RESTART_ALL,
    FREEZE,
    LONG_FREEZE,
    CUT,
    CUT_ALL,
    REGIONS,
    HUBS,
    MIXED,
];

/// Returns the units that are tolerated in a window of 8 s.
fn tolerated(per_s: f64) -> f64 {
    9.0 * per_s * 1.1 + 110_000.0
}

fn load(gateways: usize, hubs: usize, per_s: f64, asked: &'static [(u64, f64)]) -> Load {
    Load {
        gateways,
        hubs,
        per_s,
        cost: 9_200.0,
        asked,
        uneven: 0.6,
        length_s: 26,
    }
}

/// Plays a schedule and prints what came out.
fn play(rule: Rule, load: Load, troubles: &[Trouble], seed: u64) -> Outcome {
    let outcome = World::new(rule, load, seed).play(troubles);
    let length_s = load.length_s;
    println!(
        "{rule:?}, {} gateways, {} units/s, seed {seed}, {troubles:?}: {:.3} of what is tolerated in a \
         window, use {:.3} of one bucket's, {} of {} refused, {} of them below the limit, messages a \
         second {:?}",
        load.gateways,
        load.per_s,
        outcome.most_in_window(0) / tolerated(load.per_s),
        outcome.used(0, length_s) / outcome.central,
        outcome.refused,
        outcome.asked,
        outcome.refused_below,
        outcome.messages.map(|count| count / length_s),
    );
    outcome
}

fn for_each_size(mut check: impl FnMut(usize, usize, f64, u64)) {
    for (gateways, hubs, seeds) in SIZES {
        for per_s in RATES {
            for seed in 0..seeds {
                check(gateways, hubs, per_s, seed);
            }
        }
    }
}

/// Guards against an account that uses more than it may because many gateways admit at once, and
/// against an allowance that lies idle because its requests come in unevenly.
#[test]
fn an_account_uses_what_it_may_and_no_more() {
    for_each_size(|gateways, hubs, per_s, seed| {
        for asked in [HOT, EXCESS] {
            let load = load(gateways, hubs, per_s, asked);
            let outcome = play(Rule::Built, load, &[], seed);
            assert!(outcome.most_in_window(0) <= tolerated(per_s));
            assert!(outcome.used(0, load.length_s) >= 0.95 * outcome.central);
        }
    });
}

/// Guards against an allowance that is exceeded while gateways start anew, freeze, hear no hub or not
/// each other.
#[test]
fn an_account_uses_no_more_than_it_may_under_disturbances() {
    for_each_size(|gateways, hubs, per_s, seed| {
        for troubles in TROUBLES {
            let load = load(gateways, hubs, per_s, HOT);
            let outcome = play(Rule::Built, load, troubles, seed);
            assert!(outcome.most_in_window(0) <= tolerated(per_s));
        }
    });
}

/// Guards against requests that are refused although their account is far below its limit.
#[test]
fn an_account_below_its_limit_is_refused_nothing() {
    for_each_size(|gateways, hubs, per_s, seed| {
        let load = load(gateways, hubs, per_s, SOUND);
        for troubles in [&[], RESTART, RESTART_ALL, FREEZE, HUBS] {
            let outcome = play(Rule::Built, load, troubles, seed);
            assert_eq!(outcome.refused_below, 0);
        }
    });
}

/// Guards against a lower limit that binds late, and a higher one that is not used.
#[test]
fn limits_that_change_are_in_force_within_a_window() {
    for_each_size(|gateways, hubs, per_s, seed| {
        let mut load = load(gateways, hubs, per_s, EXCESS);
        load.length_s = 32;
        let lowered = play(Rule::Built, load, &[Trouble::Limit(10, 0.3)], seed);
        // In force everywhere after 4 s, binding after a window more.
        assert!(lowered.most_in_window(14) <= tolerated(0.3 * per_s));
        // One request more or less; of fewer than three a second, that is a large part.
        if 0.3 * per_s >= 3.0 * load.cost {
            assert!(lowered.used(22, 32) >= 0.95 * 0.3 * per_s * 10.0 - load.cost);
        }
        let raised = play(Rule::Built, load, &[Trouble::Limit(10, 1.5)], seed);
        assert!(raised.most_in_window(0) <= tolerated(1.5 * per_s));
        assert!(raised.used(14, 32) >= 0.95 * 1.5 * per_s * 18.0 - load.cost);
    });
}

/// Guards against a rival that does better; prints the figures.
#[test]
fn the_rivals_waste_or_exceed_the_allowance() {
    let mut fails = [0; 4];
    let rules = [Rule::Equal, Rule::ByDemand, Rule::Level, Rule::Built];
    for (gateways, hubs, _) in SIZES {
        for per_s in RATES {
            for (rule, fails) in rules.into_iter().zip(&mut fails) {
                let load = load(gateways, hubs, per_s, HOT);
                let outcome = play(rule, load, &[], 1);
                let exceeds = outcome.most_in_window(0) > tolerated(per_s);
                let wastes = outcome.used(0, load.length_s) < 0.95 * outcome.central;
                *fails += u32::from(exceeds || wastes);
            }
        }
    }
    assert_eq!(fails[3], 0);
    assert!(fails[..3].iter().all(|fails| *fails > 0), "{fails:?}");
}
