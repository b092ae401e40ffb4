//! Which daemons a daemon exchanges heartbeats with: a few in its data centre, and for each other
//! data centre those of its own that are chosen as gateways. All daemons with the same roster
//! choose alike.

use crate::roster::{Health, Record};
use spindle_types::{DataCentre, Incarnation};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The links between each two data centres.
const GATEWAYS: usize = 2;

/// The daemons that `own` sends heartbeats to, among those that are not down.
pub fn neighbours<'a>(own: &Record, records: impl Iterator<Item = &'a Record>) -> Vec<&'a Record> {
    let mut centres: BTreeMap<&DataCentre, Vec<&Record>> = BTreeMap::new();
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

/// The first daemon of a data centre, which makes its summary.
pub fn first<'a>(
    data_centre: &DataCentre,
    records: impl Iterator<Item = &'a Record>,
) -> Option<&'a Record> {
    records
        .filter(|record| record.health == Health::Live && record.data_centre == *data_centre)
        .min_by_key(|record| rank(record.incarnation, data_centre))
}

/// The number of daemons of the same data centre that come before `own`.
pub fn place<'a>(own: &Record, records: impl Iterator<Item = &'a Record>) -> usize {
    let near = records.filter(|record| record.data_centre == own.data_centre);
    let rank = |record: &Record| rank(record.incarnation, &own.data_centre);
    near.filter(|record| rank(record) < rank(own)).count()
}

fn rank(incarnation: Incarnation, centre: &DataCentre) -> u64 {
    xxh3_64_with_seed(centre.as_str().as_bytes(), incarnation.0)
}

/// The next daemon on the data centre's ring, and one about a square root of its size away, so
/// that news crosses the ring in few steps.
fn ring<'a>(own: &Record, near: &[&'a Record]) -> Vec<&'a Record> {
    let mut order: Vec<_> = near.to_vec();
    order.sort_by_key(|record| rank(record.incarnation, &own.data_centre));
    let Some(place) = order.iter().position(|r| r.incarnation == own.incarnation) else {
        return order.into_iter().take(GATEWAYS).collect();
    };
    let size = order.len();
    let mut steps = vec![1, size.isqrt().max(2)];
    steps.retain(|step| *step < size);
    steps.into_iter().map(|step| order[(place + step) % size]).collect()
}

/// Of the links to another data centre, every second one is opened from either side; so traffic
/// that is blocked in one direction alone leaves a link.
fn gateways<'a>(
    own: &Record,
    near: &[&Record],
    centre: &DataCentre,
    far: &[&'a Record],
) -> Vec<&'a Record> {
    let ours = ranked(near, centre);
    let theirs = ranked(far, &own.data_centre);
    let opened = usize::from(own.data_centre > *centre);
    let links = ours.iter().zip(&theirs).take(GATEWAYS).enumerate();
    let mine = links.filter(|(index, (our, _))| {
        our.incarnation == own.incarnation
            && (index % 2 == opened || ours.len() == 1 || theirs.len() == 1)
    });
    mine.map(|(_, (_, their))| *their).collect()
}

fn ranked<'a>(records: &[&'a Record], centre: &DataCentre) -> Vec<&'a Record> {
    let mut ranked = records.to_vec();
    ranked.sort_by_key(|record| rank(record.incarnation, centre));
    ranked
}
