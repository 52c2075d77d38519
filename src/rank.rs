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
    order_by(key, names, |name| name)
}

/// Sorts `items` by descending rendezvous weight of their names for `key`.
///
/// # Examples
///
/// ```
/// use chestnuthub::rank;
///
/// let servers = [("a", 1), ("b", 2)];
/// let ranked = rank::order_by("key", &servers, |(name, _)| name);
/// assert_eq!(ranked.len(), 2);
/// ```
pub fn order_by<I, F>(key: &str, items: I, name: F) -> Vec<I::Item>
where
    I: IntoIterator,
    F: Fn(&I::Item) -> &str,
{
    let mut ranked: Vec<_> = items
        .into_iter()
        .map(|item| (weight(key, name(&item)), item))
        .collect();
    // Weights are equal only if the hashes collide; then the names decide.
    ranked.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| name(y).cmp(name(x))));
    ranked.into_iter().map(|(_, item)| item).collect()
}
