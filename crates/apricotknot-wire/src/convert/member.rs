//! Conversion of member updates and member snapshots.

use apricotknot_core::membership::ListedMember;
use apricotknot_core::membership::MemberList;
use apricotknot_core::membership::MemberSnapshot;
use apricotknot_core::membership::MemberState;
use apricotknot_core::membership::MemberUpdate;
use capnp::struct_list;

use super::ConvertError;
use super::drain::read_drain_notices;
use super::drain::write_drain_notices;
use super::limits::MAX_SNAPSHOT_ITEMS;
use super::scalar::check_length;
use super::scalar::read_address;
use super::scalar::read_name;
use crate::generated::peer_capnp;
use crate::generated::peer_capnp::listed_member;
use crate::generated::peer_capnp::member_news;
use crate::generated::peer_capnp::member_snapshot;

/// Reads an update about a member.
pub(super) fn read_update(reader: member_news::Reader<'_>) -> Result<MemberUpdate, ConvertError> {
    let state = match reader.get_state()? {
        peer_capnp::MemberState::Alive => MemberState::Alive,
        peer_capnp::MemberState::Suspect => MemberState::Suspect,
        peer_capnp::MemberState::Left => MemberState::Left,
    };
    Ok(MemberUpdate {
        node: read_name("news.node", reader.get_node()?)?,
        incarnation: reader.get_incarnation(),
        state,
        address: read_address("news.address", reader.get_address()?)?,
        data_centre: read_name("news.dataCentre", reader.get_data_centre()?)?,
    })
}

/// Writes an update about a member.
pub(super) fn write_update(update: &MemberUpdate, mut builder: member_news::Builder<'_>) {
    builder.set_node(&*update.node);
    builder.set_incarnation(update.incarnation);
    builder.set_state(match update.state {
        MemberState::Alive => peer_capnp::MemberState::Alive,
        MemberState::Suspect => peer_capnp::MemberState::Suspect,
        MemberState::Left => peer_capnp::MemberState::Left,
    });
    builder.set_address(update.address.to_string().as_str());
    builder.set_data_centre(&*update.data_centre);
}

/// Reads a list of at most `allowed` member updates.
pub(super) fn read_updates(
    reader: struct_list::Reader<'_, member_news::Owned>,
    allowed: usize,
) -> Result<Vec<MemberUpdate>, ConvertError> {
    check_length("news", reader.len() as usize, allowed)?;
    reader.iter().map(read_update).collect()
}

/// Writes a list of member updates; `builder` must have the length of `updates`.
pub(super) fn write_updates(
    updates: &[MemberUpdate],
    mut builder: struct_list::Builder<'_, member_news::Owned>,
) {
    for (index, update) in (0u32..).zip(updates) {
        write_update(update, builder.reborrow().get(index));
    }
}

fn read_listed(reader: listed_member::Reader<'_>) -> Result<ListedMember, ConvertError> {
    Ok(ListedMember {
        node: read_name("listed.node", reader.get_node()?)?,
        address: read_address("listed.address", reader.get_address()?)?,
        data_centre: read_name("listed.dataCentre", reader.get_data_centre()?)?,
    })
}

fn write_listed(member: &ListedMember, mut builder: listed_member::Builder<'_>) {
    builder.set_node(&*member.node);
    builder.set_address(member.address.to_string().as_str());
    builder.set_data_centre(&*member.data_centre);
}

/// Reads a snapshot of the members of the fleet.
///
/// # Errors
///
/// Returns an error if the message does not follow the schema, or if a list or name is longer than
/// its limit.
pub fn read_snapshot(reader: member_snapshot::Reader<'_>) -> Result<MemberSnapshot, ConvertError> {
    let listed = reader.get_listed()?;
    check_length("listed", listed.len() as usize, MAX_SNAPSHOT_ITEMS)?;
    Ok(MemberSnapshot {
        list: MemberList {
            epoch: reader.get_epoch(),
            proposer: read_name("proposer", reader.get_proposer()?)?,
            members: listed.iter().map(read_listed).collect::<Result<_, _>>()?,
        },
        updates: read_updates(reader.get_news()?, MAX_SNAPSHOT_ITEMS)?,
        notices: read_drain_notices(reader.get_notices()?, MAX_SNAPSHOT_ITEMS)?,
    })
}

/// Writes a snapshot of the members of the fleet.
pub fn write_snapshot(snapshot: &MemberSnapshot, mut builder: member_snapshot::Builder<'_>) {
    let list = &snapshot.list;
    builder.set_epoch(list.epoch);
    builder.set_proposer(&*list.proposer);
    let mut listed = builder.reborrow().init_listed(list.members.len() as u32);
    for (index, member) in (0u32..).zip(&list.members) {
        write_listed(member, listed.reborrow().get(index));
    }
    write_updates(&snapshot.updates, builder.reborrow().init_news(snapshot.updates.len() as u32));
    write_drain_notices(&snapshot.notices, builder.init_notices(snapshot.notices.len() as u32));
}
