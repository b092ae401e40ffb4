//! Which daemons a daemon sends heartbeats to: a few in its own data centre and, if it is chosen as
//! a gateway, one in another data centre. Daemons with the same roster make the same choice.

use crate::roster::{DaemonRecord, Health};
use spindle_types::{DataCentre, Incarnation};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of links between any two data centres.
const GATEWAYS: usize = 2;

/// The daemons, among those that are not down, that `own` sends heartbeats to.
pub fn neighbours<'a>(
    own: &DaemonRecord,
    records: impl Iterator<Item = &'a DaemonRecord>,
) -> Vec<&'a DaemonRecord> {
    let mut centres: BTreeMap<&DataCentre, Vec<&DaemonRecord>> = BTreeMap::new();
    for record in records.filter(|record| record.health != Health::Down) {
        centres.entry(&record.data_centre).or_default().push(record);
    }
    let near = centres.remove(&own.data_centre).unwrap_or_default();
    let mut chosen = ring(own, &near);
    for (centre, far) in centres {
        chosen.extend(gateways(own, &near, centre, &far));
    }
    chosen
}

/// The daemon that writes the summary of a data centre: the live one with the lowest rank.
pub fn summary_author<'a>(
    data_centre: &DataCentre,
    records: impl Iterator<Item = &'a DaemonRecord>,
) -> Option<&'a DaemonRecord> {
    records
        .filter(|record| record.health == Health::Live && record.data_centre == *data_centre)
        .min_by_key(|record| rank(record.incarnation, data_centre))
}

/// The rank of `own` among the daemons of its data centre, from 0.
pub fn rank_in_data_centre<'a>(
    own: &DaemonRecord,
    records: impl Iterator<Item = &'a DaemonRecord>,
) -> usize {
    let near = records.filter(|record| record.data_centre == own.data_centre);
    let rank = |record: &DaemonRecord| rank(record.incarnation, &own.data_centre);
    near.filter(|record| rank(record) < rank(own)).count()
}

/// A pseudo-random order of daemons, different for each data centre.
fn rank(incarnation: Incarnation, centre: &DataCentre) -> u64 {
    xxh3_64_with_seed(centre.as_str().as_bytes(), incarnation.0)
}

/// The successor on the data centre's ring, and a daemon about the square root of the ring's size
/// away, so that updates cross the ring in few hops.
fn ring<'a>(own: &DaemonRecord, near: &[&'a DaemonRecord]) -> Vec<&'a DaemonRecord> {
    let mut order: Vec<_> = near.to_vec();
    order.sort_by_key(|record| rank(record.incarnation, &own.data_centre));
    let Some(position) = order.iter().position(|r| r.incarnation == own.incarnation) else {
        return order.into_iter().take(GATEWAYS).collect();
    };
    let size = order.len();
    let mut steps = vec![1, size.isqrt().max(2)];
    steps.retain(|step| *step < size);
    steps.into_iter().map(|step| order[(position + step) % size]).collect()
}

/// The daemons of another data centre to which `own` opens a link. The two sides open every second
/// link each, so that traffic blocked in one direction leaves a working link.
fn gateways<'a>(
    own: &DaemonRecord,
    near: &[&DaemonRecord],
    centre: &DataCentre,
    far: &[&'a DaemonRecord],
) -> Vec<&'a DaemonRecord> {
    let ours = ranked(near, centre);
    let theirs = ranked(far, &own.data_centre);
    let own_parity = usize::from(own.data_centre > *centre);
    let links = ours.iter().zip(&theirs).take(GATEWAYS).enumerate();
    let mine = links.filter(|(index, (our, _))| {
        our.incarnation == own.incarnation
            && (index % 2 == own_parity || ours.len() == 1 || theirs.len() == 1)
    });
    mine.map(|(_, (_, their))| *their).collect()
}

fn ranked<'a>(records: &[&'a DaemonRecord], centre: &DataCentre) -> Vec<&'a DaemonRecord> {
    let mut ranked = records.to_vec();
    ranked.sort_by_key(|record| rank(record.incarnation, centre));
    ranked
}
