//! Selection of the neighbours with which a daemon exchanges log positions.

use crate::{
    client::list::Instance,
    id,
    rank, //
};

/// Maximum number of neighbours that a daemon selects. A graph of 930 daemons with 4 links each has
/// a diameter of about 5 links.
const MAX_NEIGHBOURS: usize = 4;

/// Returns the neighbours of the instance `own`, selected from the list by rendezvous hashing.
///
/// If the list has such instances, at least one neighbour is in another region and one in another
/// failure domain of the region of `own`. If `own` is not in the list, regions and failure domains
/// are not considered.
///
/// # Examples
///
/// ```
/// use chestnuthub::gossip::neighbours;
///
/// assert!(neighbours(&"entry-0".into(), &[]).is_empty());
/// ```
pub fn neighbours(own: &id::Instance, instances: &[Instance]) -> Vec<Instance> {
    let Some(local) = instances.iter().find(|instance| instance.name == *own) else {
        return ranked(own, instances)
            .into_iter()
            .take(MAX_NEIGHBOURS)
            .cloned()
            .collect();
    };
    let ranked = ranked(own, instances);
    let mut chosen: Vec<&Instance> = Vec::new();
    let other_region = ranked.iter().find(|other| other.region != local.region);
    let other_domain = ranked
        .iter()
        .find(|other| other.region == local.region && other.failure_domain != local.failure_domain);
    chosen.extend(other_region.into_iter().chain(other_domain));
    for instance in ranked {
        if chosen.len() == MAX_NEIGHBOURS {
            break;
        }
        if chosen.iter().all(|other| other.name != instance.name) {
            chosen.push(instance);
        }
    }
    chosen.into_iter().cloned().collect()
}

/// Returns the other instances in the order of their hash with `own`.
fn ranked<'a>(own: &id::Instance, instances: &'a [Instance]) -> Vec<&'a Instance> {
    let others = instances.iter().filter(|instance| instance.name != *own);
    rank::order_by(own.as_str(), others, |instance| instance.name.as_str())
}
