//! Encodes and decodes heartbeats.

use std::time::Duration;

use comfreyramp_policy::{Heartbeat, Incarnation, ZoneId};

use crate::{PeerHeartbeat, generated::peers_capnp::beat};

use super::{micros, text};

pub(crate) fn write_beat(mut builder: beat::Builder<'_>, beat: &PeerHeartbeat) {
    builder.set_name(&beat.member.name);
    builder.set_zone(beat.member.zone.0);
    builder.set_address(&beat.member.address);
    builder.set_incarnation(beat.member.incarnation.0);
    builder.set_leaving(beat.member.leaving);
    builder.set_settings_revision(beat.settings_revision);
    builder.set_roster_revision(beat.roster_revision);
    builder.set_view_age_micros(micros(beat.view_age));
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
