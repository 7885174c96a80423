//! Encodes and decodes heartbeats.

use std::time::Duration;

use comfreyramp_policy::{Heartbeat, Incarnation, ZoneId};

use crate::{PeerHeartbeat, generated::peers_capnp::beat};

use super::{micros, text};

pub(crate) fn write_beat(mut builder: beat::Builder<'_>, heartbeat: &PeerHeartbeat) {
    builder.set_name(&heartbeat.member.name);
    builder.set_zone(heartbeat.member.zone.0);
    builder.set_address(&heartbeat.member.address);
    builder.set_incarnation(heartbeat.member.incarnation.0);
    builder.set_leaving(heartbeat.member.leaving);
    builder.set_settings_revision(heartbeat.settings_revision);
    builder.set_roster_revision(heartbeat.roster_revision);
    builder.set_view_age_micros(micros(heartbeat.view_age));
}

pub(crate) fn read_beat(reader: beat::Reader<'_>) -> Result<PeerHeartbeat, capnp::Error> {
    Ok(PeerHeartbeat {
        member: Heartbeat {
            name: text(reader.get_name()?)?,
            zone: ZoneId(reader.get_zone()),
            address: text(reader.get_address()?)?,
            incarnation: Incarnation(reader.get_incarnation()),
            leaving: reader.get_leaving(),
        },
        settings_revision: reader.get_settings_revision(),
        roster_revision: reader.get_roster_revision(),
        view_age: Duration::from_micros(reader.get_view_age_micros()),
    })
}
