//! Encodes and decodes announcements of live requests.

use capnp::{primitive_list, struct_list};
use comfreyramp_policy::ServerKey;

use crate::{LiveAnnouncement, generated::peers_capnp::live_notice};

pub(crate) fn write_notices(
    mut list: struct_list::Builder<'_, live_notice::Owned>,
    notices: &[LiveAnnouncement],
) {
    for (index, notice) in notices.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_server(notice.server.0);
        builder.set_count(notice.count);
    }
}

pub(crate) fn read_notices(
    list: struct_list::Reader<'_, live_notice::Owned>,
) -> Vec<LiveAnnouncement> {
    let notices = list.iter().map(|reader| LiveAnnouncement {
        server: ServerKey(reader.get_server()),
        count: reader.get_count(),
    });
    notices.collect()
}

pub(crate) fn write_bulk_counts(mut list: primitive_list::Builder<'_, u32>, bulk: &[u32]) {
    for (index, count) in bulk.iter().enumerate() {
        list.set(index as u32, *count);
    }
}
