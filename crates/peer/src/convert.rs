//! Conversion between the types of `policy` and the generated types of the wire protocol.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::home::{self, Holder, KeyEntry, MessageBody};
use policy::member::{Body, Member, Message, State, SyncReply, SyncRequest};
use policy::ticket::Ticket;

use crate::proto::home_message::Body as HomeBody;
use crate::proto::{self, ClaimOutcome, MemberState, gossip::Kind};

/// Why a message from another daemon cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// An address is not an IP address and port.
    Address,
    /// The state of a member is unknown to this version.
    State,
    /// The name of the VM or data centre is empty.
    Name,
    /// A ticket is missing, or its id is not 16 bytes long.
    Ticket,
    /// The message body is missing, or a number is out of range.
    Body,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Address => "member with an invalid address; check the sender's settings",
            Self::State => "member with an unknown state; update this daemon",
            Self::Name => "member without a name; check the sender's settings",
            Self::Ticket => "missing or malformed ticket; update this daemon",
            Self::Body => "missing body or number out of range; update this daemon",
        };
        f.write_str(text)
    }
}

impl Error for WireError {}

impl From<&Member> for proto::Member {
    fn from(member: &Member) -> Self {
        let state = match member.state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Draining => MemberState::Draining,
            State::Dead => MemberState::Dead,
            State::Left => MemberState::Left,
        };
        Self {
            vm: member.vm.to_string(),
            incarnation: member.incarnation,
            version: member.version,
            state: state.into(),
            data_centre: member.data_centre.to_string(),
            call_address: member.call_address.to_string(),
            gossip_address: member.gossip_address.to_string(),
            service: member.service.as_deref().unwrap_or_default().to_owned(),
            slots: member.slots,
            cold: member.cold,
            unreachable: member.unreachable.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<&proto::Member> for Member {
    type Error = WireError;

    fn try_from(member: &proto::Member) -> Result<Self, WireError> {
        let state = match MemberState::try_from(member.state) {
            Ok(MemberState::Alive) => State::Alive,
            Ok(MemberState::Suspect) => State::Suspect,
            Ok(MemberState::Draining) => State::Draining,
            Ok(MemberState::Dead) => State::Dead,
            Ok(MemberState::Left) => State::Left,
            Err(_) => return Err(WireError::State),
        };
        if member.vm.is_empty() || member.data_centre.is_empty() {
            return Err(WireError::Name);
        }
        Ok(Self {
            vm: member.vm.as_str().into(),
            incarnation: member.incarnation,
            version: member.version,
            state,
            data_centre: member.data_centre.as_str().into(),
            call_address: parse_address(&member.call_address)?,
            gossip_address: parse_address(&member.gossip_address)?,
            service: (!member.service.is_empty()).then(|| member.service.as_str().into()),
            slots: member.slots,
            cold: member.cold,
            unreachable: member
                .unreachable
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
        })
    }
}

impl From<&Message> for proto::Gossip {
    fn from(message: &Message) -> Self {
        let kind = match &message.body {
            Body::Ping {
                target,
                incarnation,
            } => Some(Kind::Ping(proto::Ping {
                target: target.to_string(),
                target_incarnation: *incarnation,
            })),
            Body::PingRequest { target, address } => Some(Kind::PingRequest(proto::PingRequest {
                target: target.to_string(),
                target_address: address.to_string(),
            })),
            Body::Ack { target } => Some(Kind::Ack(proto::Ack {
                target: target.to_string(),
            })),
            Body::Delta { data_centre } => Some(Kind::Delta(proto::Delta {
                data_centre: data_centre.to_string(),
            })),
            Body::Push => None,
        };
        Self {
            from: message.from.to_string(),
            from_incarnation: message.incarnation,
            sequence: message.sequence,
            updates: members_to_wire(&message.updates),
            rules_revision: message.rules,
            homes_revision: message.homes,
            digest: message.digest,
            kind,
        }
    }
}

impl TryFrom<&proto::Gossip> for Message {
    type Error = WireError;

    fn try_from(gossip: &proto::Gossip) -> Result<Self, WireError> {
        let body = match &gossip.kind {
            Some(Kind::Ping(ping)) => Body::Ping {
                target: ping.target.as_str().into(),
                incarnation: ping.target_incarnation,
            },
            Some(Kind::PingRequest(request)) => Body::PingRequest {
                target: request.target.as_str().into(),
                address: parse_address(&request.target_address)?,
            },
            Some(Kind::Ack(ack)) => Body::Ack {
                target: ack.target.as_str().into(),
            },
            Some(Kind::Delta(delta)) => Body::Delta {
                data_centre: delta.data_centre.as_str().into(),
            },
            None => Body::Push,
        };
        Ok(Self {
            from: gossip.from.as_str().into(),
            incarnation: gossip.from_incarnation,
            sequence: gossip.sequence,
            body,
            updates: members_from_wire(&gossip.updates),
            rules: gossip.rules_revision,
            homes: gossip.homes_revision,
            digest: gossip.digest,
        })
    }
}

impl From<&SyncRequest> for proto::SyncRequest {
    fn from(request: &SyncRequest) -> Self {
        let members = members_to_wire(&request.members);
        Self { members }
    }
}

impl From<&proto::SyncRequest> for SyncRequest {
    fn from(request: &proto::SyncRequest) -> Self {
        let members = sync_from_wire(&request.members);
        Self { members }
    }
}

impl From<&SyncReply> for proto::SyncReply {
    fn from(reply: &SyncReply) -> Self {
        Self {
            members: members_to_wire(&reply.members),
            rules_revision: reply.rules,
            homes_revision: reply.homes,
        }
    }
}

impl From<&proto::SyncReply> for SyncReply {
    fn from(reply: &proto::SyncReply) -> Self {
        Self {
            members: sync_from_wire(&reply.members),
            rules: reply.rules_revision,
            homes: reply.homes_revision,
        }
    }
}

fn members_to_wire(members: &[Arc<Member>]) -> Vec<proto::Member> {
    members
        .iter()
        .map(|member| member.as_ref().into())
        .collect()
}

/// Skips members that this version cannot decode and keeps the others.
fn members_from_wire(members: &[proto::Member]) -> Vec<Arc<Member>> {
    let decoded = members.iter().map(Member::try_from);
    decoded.filter_map(Result::ok).map(Arc::new).collect()
}

/// Like [`members_from_wire`], but returns none if the first member, the sender, cannot be decoded.
fn sync_from_wire(members: &[proto::Member]) -> Vec<Arc<Member>> {
    let sender = members.first().map(Member::try_from);
    if matches!(sender, Some(Ok(_))) {
        members_from_wire(members)
    } else {
        Vec::new()
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, WireError> {
    text.parse().map_err(|_| WireError::Address)
}

impl From<&Ticket> for proto::Ticket {
    fn from(ticket: &Ticket) -> Self {
        Self {
            vm: ticket.vm.to_string(),
            incarnation: ticket.incarnation,
            id: ticket.id.to_be_bytes().to_vec(),
            expires_ms: ticket.expires_ms,
        }
    }
}

impl TryFrom<proto::Ticket> for Ticket {
    type Error = WireError;

    fn try_from(wire: proto::Ticket) -> Result<Self, WireError> {
        let id = wire.id.try_into().map_err(|_| WireError::Ticket)?;
        Ok(Self {
            vm: wire.vm.into(),
            incarnation: wire.incarnation,
            id: u128::from_be_bytes(id),
            expires_ms: wire.expires_ms,
        })
    }
}

impl From<&Holder> for proto::Holder {
    fn from(holder: &Holder) -> Self {
        Self {
            vm: holder.vm.to_string(),
            incarnation: holder.incarnation,
        }
    }
}

impl From<proto::Holder> for Holder {
    fn from(wire: proto::Holder) -> Self {
        Self::new(wire.vm, wire.incarnation)
    }
}

/// Encodes a message between owner and successor of a home slot.
#[must_use]
pub fn home_message_to_wire(
    from: &Holder,
    to: &Holder,
    message: &home::Message,
) -> proto::HomeMessage {
    let body = match &message.body {
        MessageBody::Grant => HomeBody::Grant(proto::GrantBody {}),
        MessageBody::GrantReply(granted) => HomeBody::GrantReply(*granted),
        MessageBody::Store(entries, copy) => HomeBody::Store(proto::StoreBody {
            entries: entries.iter().map(key_entry_to_wire).collect(),
            copy: copy.as_ref().map(|copy| proto::CopyPart {
                id: copy.id,
                index: copy.index as u64,
                last: copy.last,
                quarantine_ms: copy.quarantine.as_millis() as u64,
            }),
        }),
        MessageBody::StoreReply(stored) => HomeBody::StoreReply(*stored),
    };
    proto::HomeMessage {
        from: Some(from.into()),
        to: Some(to.into()),
        slot: message.slot as u32,
        epoch: message.epoch,
        homes_revision: message.revision,
        sequence: message.sequence,
        body: Some(body),
    }
}

fn key_entry_to_wire(entry: &KeyEntry) -> proto::KeyEntry {
    proto::KeyEntry {
        key: entry.key.to_string(),
        ticket: Some((&entry.ticket).into()),
        version: entry.version.into(),
    }
}

impl TryFrom<proto::HomeMessage> for home::Message {
    type Error = WireError;

    fn try_from(wire: proto::HomeMessage) -> Result<Self, WireError> {
        let body = match wire.body.ok_or(WireError::Body)? {
            HomeBody::Grant(_) => MessageBody::Grant,
            HomeBody::GrantReply(granted) => MessageBody::GrantReply(granted),
            HomeBody::Store(store) => {
                let entries = store.entries.into_iter().map(KeyEntry::try_from);
                let copy = store.copy.map(|copy| home::CopyPart {
                    id: copy.id,
                    index: copy.index as usize,
                    last: copy.last,
                    quarantine: Duration::from_millis(copy.quarantine_ms),
                });
                MessageBody::Store(entries.collect::<Result<_, _>>()?, copy)
            }
            HomeBody::StoreReply(stored) => MessageBody::StoreReply(stored),
        };
        Ok(Self {
            slot: wire.slot as usize,
            epoch: wire.epoch,
            revision: wire.homes_revision,
            sequence: wire.sequence,
            body,
        })
    }
}

impl TryFrom<proto::KeyEntry> for KeyEntry {
    type Error = WireError;

    fn try_from(wire: proto::KeyEntry) -> Result<Self, WireError> {
        Ok(Self {
            key: wire.key.into(),
            ticket: wire.ticket.ok_or(WireError::Ticket)?.try_into()?,
            version: u8::try_from(wire.version).map_err(|_| WireError::Body)?,
        })
    }
}

impl TryFrom<proto::ClaimRequest> for home::Claim {
    type Error = WireError;

    fn try_from(wire: proto::ClaimRequest) -> Result<Self, WireError> {
        let replaces = match wire.replaces.as_slice() {
            [] => None,
            id => Some(u128::from_be_bytes(
                id.try_into().map_err(|_| WireError::Ticket)?,
            )),
        };
        Ok(Self {
            service: wire.service.into(),
            key: wire.key.into(),
            ticket: wire.ticket.ok_or(WireError::Ticket)?.try_into()?,
            replaces,
            extra_attempts: u8::try_from(wire.extra).map_err(|_| WireError::Body)?,
        })
    }
}

impl From<&home::Claim> for proto::ClaimRequest {
    fn from(claim: &home::Claim) -> Self {
        Self {
            service: claim.service.to_string(),
            key: claim.key.to_string(),
            ticket: Some((&claim.ticket).into()),
            replaces: claim
                .replaces
                .map(|id| id.to_be_bytes().to_vec())
                .unwrap_or_default(),
            extra: claim.extra_attempts.into(),
        }
    }
}

impl From<&home::ClaimReply> for proto::ClaimReply {
    fn from(reply: &home::ClaimReply) -> Self {
        let (outcome, ticket, homes_revision) = match reply {
            home::ClaimReply::Stored(ticket) => (ClaimOutcome::Stored, Some(ticket.into()), 0),
            home::ClaimReply::Found(ticket) => (ClaimOutcome::Found, Some(ticket.into()), 0),
            home::ClaimReply::Unavailable(revision) => (ClaimOutcome::Unavailable, None, *revision),
        };
        Self {
            outcome: outcome.into(),
            ticket,
            homes_revision,
        }
    }
}

impl TryFrom<proto::ClaimReply> for home::ClaimReply {
    type Error = WireError;

    fn try_from(wire: proto::ClaimReply) -> Result<Self, WireError> {
        let ticket = |ticket: Option<proto::Ticket>| ticket.ok_or(WireError::Ticket)?.try_into();
        match wire.outcome() {
            ClaimOutcome::Unavailable => Ok(Self::Unavailable(wire.homes_revision)),
            ClaimOutcome::Stored => Ok(Self::Stored(ticket(wire.ticket)?)),
            ClaimOutcome::Found => Ok(Self::Found(ticket(wire.ticket)?)),
        }
    }
}
