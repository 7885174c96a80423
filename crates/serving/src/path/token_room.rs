//! Keeps the tokens of requests within the memory of their servers.

use comfreyramp_policy::{
    Timestamp,
    placement::{Placement, PlacementQuery, PlacementRefusal, PlacementTable},
};
use rand::Rng;

use super::live_request::LiveRequest;
use crate::dialect::Dialect;

impl<D: Dialect> LiveRequest<D> {
    /// Chooses a server that has memory left for the request, or the one with the fewest
    /// tokens.
    pub(super) fn place(
        &self,
        servers: &PlacementTable,
        query: PlacementQuery<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Result<Placement, PlacementRefusal> {
        let room = self.node.token_room.borrow();
        let without_room = room.servers_without_room(&query, self.tokens, servers, now);
        if without_room.is_empty() {
            return servers.choose_live(query, now, random);
        }
        let exclude = [query.exclude, &without_room].concat();
        let limited = PlacementQuery {
            exclude: &exclude,
            ..query
        };
        let chosen = servers.choose_live(limited, now, random);
        let server = chosen.ok().map(|it| it.server);
        log::info!(
            request = self.request_id, tokens = self.tokens, service = query.service,
            without_room = without_room.len(),
            server = server.map_or("", |it| &servers.listing(it).name),
            used = server.map(|it| room.used(it, servers, now));
            "placement: servers have no memory for the request"
        );
        chosen
    }
}
