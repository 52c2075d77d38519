//! Choice of the neighbours that a daemon exchanges positions with.

use crate::{
    client::list::Instance,
    id,
    rank, //
};

/// Neighbours of each daemon; the graph of 930 daemons with 4 links each has a diameter of
/// about 5 links.
const NEIGHBOURS: usize = 4;

/// Returns the neighbours of the instance `own`, by rendezvous hash over the list.
///
/// At least one is in another failure domain and one in another region, where such exist.
///
/// # Examples
///
/// ```
/// use chestnuthub::gossip::neighbours;
///
/// assert!(neighbours(&"entry-0".into(), &[]).is_empty());
/// ```
pub fn neighbours(own: &id::Instance, instances: &[Instance]) -> Vec<Instance> {
    let Some(me) = instances.iter().find(|instance| instance.name == *own) else {
        return ranked(own, instances)
            .into_iter()
            .take(NEIGHBOURS)
            .cloned()
            .collect();
    };
    let ranked = ranked(own, instances);
    let mut chosen: Vec<&Instance> = Vec::new();
    let other_region = ranked.iter().find(|other| other.region != me.region);
    let other_domain = ranked
        .iter()
        .find(|other| other.region == me.region && other.failure_domain != me.failure_domain);
    chosen.extend(other_region.into_iter().chain(other_domain));
    for instance in ranked {
        if chosen.len() == NEIGHBOURS {
            break;
        }
        if chosen.iter().all(|known| known.name != instance.name) {
            chosen.push(instance);
        }
    }
    chosen.into_iter().cloned().collect()
}

fn ranked<'a>(own: &id::Instance, instances: &'a [Instance]) -> Vec<&'a Instance> {
    let others = instances.iter().filter(|instance| instance.name != *own);
    rank::order_by(own.as_str(), others, |instance| instance.name.as_str())
}
