//! Rendezvous hashing: every daemon ranks the same names in the same order for a key.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns the rendezvous weight of `name` for `key`.
fn weight(key: &str, name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(key.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Sorts `names` by descending rendezvous weight for `key`.
///
/// Removing one name leaves the order of the others unchanged.
///
/// # Examples
///
/// ```
/// use chestnuthub::rank;
///
/// let all = rank::order("gear-check@1", ["a", "b", "c"]);
/// let first = all[0];
/// let rest = rank::order("gear-check@1", ["a", "b", "c"].into_iter().filter(|n| *n != first));
/// assert_eq!(rest, all[1..]);
/// ```
pub fn order<'a, I>(key: &str, names: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<_> = names
        .into_iter()
        .map(|name| (weight(key, name), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, name)| name).collect()
}
