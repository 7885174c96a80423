//! Small server tables for tests of routing.

use comfreyramp_policy::{GroupId, ListedServer, RouteQuery, ServerTable, Timestamp, ZoneId};
use rand::rngs::StdRng;

pub(crate) const GROUP: GroupId = GroupId(0);
pub(crate) const OWN_ZONE: ZoneId = ZoneId(0);
pub(crate) const OTHER_ZONE: ZoneId = ZoneId(1);

pub(crate) fn at(secs: f64) -> Timestamp {
    Timestamp::from_micros((secs * 1e6) as u64)
}

pub(crate) fn vm(name: &str, zone: ZoneId) -> ListedServer {
    ListedServer {
        name: name.to_owned(),
        address: format!("{name}:80"),
        zone,
        group: GROUP,
        leaving: false,
    }
}

pub(crate) fn vms(home: usize, away: usize) -> Vec<ListedServer> {
    let near = (0..home).map(|it| vm(&format!("home-{it}"), OWN_ZONE));
    let far = (0..away).map(|it| vm(&format!("away-{it}"), OTHER_ZONE));
    near.chain(far).collect()
}

pub(crate) fn table(home: usize, away: usize) -> ServerTable {
    let mut table = ServerTable::default();
    table.apply_list(&vms(home, away), at(0.0));
    table
}

pub(crate) fn query() -> RouteQuery<'static> {
    RouteQuery::new(GROUP, OWN_ZONE)
}

/// Returns how often each server is chosen in `count` choices.
pub(crate) fn shares(
    table: &ServerTable,
    count: usize,
    now: Timestamp,
    rng: &mut StdRng,
) -> Vec<usize> {
    let mut shares = vec![0; table.servers().count()];
    for _ in 0..count {
        let server = table.choose(&query(), now, rng).expect("a server");
        shares[server.index()] += 1;
    }
    shares
}
