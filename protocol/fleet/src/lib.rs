//! What front ends of a fleet write to each other, and what its operators ask: messages as bytes, and back as the types of
//! `tansy-agreement`. What comes back is checked: lengths, depths, and that what must be there is.

/// The messages, as the file `proto/fleet.proto` has them.
#[allow(missing_docs, clippy::all)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/tansy.fleet.rs"));
}
mod scopes;
pub use scopes::{of_scope_request, of_scoped, scope_request, scoped};

use prost::Message as _;
use std::net::SocketAddr;
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::endpoints::{Endpoint, EndpointRecord, EndpointState, MAX_DRAINS};
use tansy_agreement::lease::{LeaseGrant, LeaseRequest, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{Canary, ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::ChangeHistory;
use tansy_agreement::session;
use tansy_fleet_node::{Leader, MessageBody};
use tansy_membership::NodeId;

/// The form of the messages; another one is turned away.
pub const FORMAT_VERSION: u32 = 1;
/// Bytes of a letter.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Bytes of a name, an address or a reason.
pub const MAX_TEXT_BYTES: usize = 4096;
/// Lists within lists.
const DEPTH: usize = 8;
/// The service's path.
pub const SERVICE: &str = "/tansy.fleet.Fleet/";

/// Why a letter is thrown away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It can't be read at all.
    Malformed(String),
    /// It is of another form: of a program that can't be understood.
    UnknownFormat(u32),
    /// It is of another fleet.
    OtherFleet,
    /// A part is missing, or is no such thing.
    MissingPart(&'static str),
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DecodeError::Malformed(why) => write!(f, "a letter that can't be read: {why}"),
            DecodeError::UnknownFormat(n) => {
                write!(f, "a letter of form {n}, this program knows form {FORMAT_VERSION}: one of the two is too old")
            }
            DecodeError::OtherFleet => {
                write!(f, "a letter of another fleet: two fleets are wired to each other; look at fleet.name and fleet.seats")
            }
            DecodeError::MissingPart(part) => write!(f, "a letter without a right {part}"),
        }
    }
}
impl std::error::Error for DecodeError {}

/// A letter as bytes.
pub fn encode_message(fleet: u64, from: &NodeId, root: Leader, body: MessageBody) -> Vec<u8> {
    use pb::letter::Body as B;
    let body = match body {
        MessageBody::Gossip(bytes) => B::Members(bytes),
        MessageBody::Lease(LeaseMessage::Request(a)) => {
            let from = Some(member(a.from));
            B::Ask(pb::Ask {
                from,
                seq: a.seq,
                at: a.acknowledged.0,
                has: a.known.0,
                deltas: a.accepts_deltas,
            })
        }
        MessageBody::Lease(LeaseMessage::Grant(g)) => B::Grant(pb::Grant {
            to: Some(member(g.to)),
            seq: g.seq,
            span: g.span,
            step: g.revision.0,
            state: g.state.as_ref().map(state),
            delta: g.delta.as_ref().map(scopes::delta),
        }),
        MessageBody::Lease(LeaseMessage::Revision(s)) => B::Step(s.0),
        MessageBody::Lease(LeaseMessage::Acknowledge { from, revision: at }) => {
            B::Reached(pb::Reached {
                from: Some(member(from)),
                at: at.0,
            })
        }
        MessageBody::SessionRequest(a, name, digest) => {
            let (from, scopes) = (Some(member(a.from)), a.supports_scopes);
            B::StayAsk(pb::StayAsk {
                from,
                seq: a.seq,
                at: a.revision.0,
                name,
                digest,
                scopes,
            })
        }
        MessageBody::Drains(lines, back) => {
            // One that is ready is no news to anybody.
            let leaves = lines
                .into_iter()
                .filter(|l| l.state != EndpointState::Ready);
            B::Leaving(pb::Leaving {
                lines: leaves.map(line).collect(),
                back,
            })
        }
        MessageBody::DrainDigest(digest) => B::Digest(digest),
        MessageBody::Consensus(bytes) => B::Seats(bytes),
        MessageBody::Subscribe(want) => B::Want(scopes::want(want)),
        MessageBody::SubscribeReply(reply) => B::Scopes(scopes::reply(reply)),
        MessageBody::HeaderOnly => B::Head(true),
        MessageBody::Departed(m) => B::Gone(member(m)),
        MessageBody::SessionGrant(g) => B::StayGrant(pb::StayGrant {
            to: Some(member(g.to)),
            seq: g.seq,
            span: g.span,
        }),
    };
    let (root_term, root) = (root.term, root.id);
    pb::Letter {
        form: FORMAT_VERSION,
        fleet,
        from: Some(process(from)),
        root_term,
        root,
        body: Some(body),
    }
    .encode_to_vec()
}

/// A letter of this fleet, with its sender and who leads in its eyes.
pub fn decode_message(
    fleet: u64,
    bytes: &[u8],
) -> Result<(NodeId, Leader, MessageBody), DecodeError> {
    let encode_message =
        pb::Letter::decode(bytes).map_err(|e| DecodeError::Malformed(e.to_string()))?;
    if encode_message.form != FORMAT_VERSION {
        return Err(DecodeError::UnknownFormat(encode_message.form));
    } else if encode_message.fleet != fleet {
        return Err(DecodeError::OtherFleet);
    }
    let root = Leader {
        term: encode_message.root_term,
        id: encode_message.root,
    };
    let from = name(
        encode_message
            .from
            .ok_or(DecodeError::MissingPart("sender"))?,
    )?;
    use pb::letter::Body as B;
    let body = match encode_message
        .body
        .ok_or(DecodeError::MissingPart("body"))?
    {
        B::Members(bytes) => MessageBody::Gossip(bytes),
        B::Ask(a) => MessageBody::Lease(LeaseMessage::Request(LeaseRequest {
            from: of_member(a.from)?,
            seq: a.seq,
            acknowledged: Revision(a.at),
            known: Revision(a.has),
            accepts_deltas: a.deltas,
        })),
        B::Grant(g) => MessageBody::Lease(LeaseMessage::Grant(LeaseGrant {
            to: of_member(g.to)?,
            seq: g.seq,
            span: g.span,
            revision: Revision(g.step),
            state: g.state.map(of_state).transpose()?,
            delta: g.delta.map(|d| scopes::of_delta(d, g.step)).transpose()?,
        })),
        B::Step(n) => MessageBody::Lease(LeaseMessage::Revision(Revision(n))),
        B::Reached(r) => MessageBody::Lease(LeaseMessage::Acknowledge {
            from: of_member(r.from)?,
            revision: Revision(r.at),
        }),
        B::StayAsk(a) => {
            let (from, at) = (of_member(a.from)?, Revision(a.at));
            let ask = session::SessionRequest {
                from,
                seq: a.seq,
                revision: at,
                supports_scopes: a.scopes,
            };
            MessageBody::SessionRequest(ask, words(a.name, "name")?, a.digest)
        }
        B::Leaving(l) => {
            if l.lines.len() > MAX_DRAINS {
                return Err(DecodeError::MissingPart("number of workers"));
            }
            let lines = l.lines.into_iter().map(of_line).collect::<Result<_, _>>()?;
            MessageBody::Drains(lines, l.back)
        }
        B::Digest(digest) => MessageBody::DrainDigest(digest),
        B::Seats(bytes) => MessageBody::Consensus(bytes),
        B::Want(want) => MessageBody::Subscribe(scopes::of_want(want)?),
        B::Scopes(reply) => MessageBody::SubscribeReply(scopes::of_reply(reply)?),
        B::Head(_) => MessageBody::HeaderOnly,
        B::Gone(m) => MessageBody::Departed(of_member(Some(m))?),
        B::StayGrant(g) => MessageBody::SessionGrant(session::SessionGrant {
            to: of_member(g.to)?,
            seq: g.seq,
            span: g.span,
        }),
    };
    Ok((from, root, body))
}

fn line(l: EndpointRecord) -> pb::Line {
    let gone = l.state == EndpointState::Gone;
    pb::Line {
        name: l.endpoint.name,
        address: l.endpoint.address,
        incarnation: l.incarnation,
        gone,
    }
}

fn of_line(l: pb::Line) -> Result<EndpointRecord, DecodeError> {
    let worker = Endpoint {
        name: words(l.name, "worker's name")?,
        address: words(l.address, "worker's address")?,
    };
    let standing = if l.gone {
        EndpointState::Gone
    } else {
        EndpointState::Draining
    };
    Ok(EndpointRecord {
        endpoint: worker,
        incarnation: l.incarnation,
        state: standing,
    })
}

fn words(text: String, what: &'static str) -> Result<String, DecodeError> {
    if text.len() > MAX_TEXT_BYTES {
        Err(DecodeError::MissingPart(what))
    } else {
        Ok(text)
    }
}

/// A process as it is written.
pub fn process(name: &NodeId) -> pb::Process {
    let (id, incarnation, life) = (name.id, name.incarnation, name.life);
    pb::Process {
        id,
        incarnation,
        life,
        address: name.address.to_string(),
    }
}

fn name(p: pb::Process) -> Result<NodeId, DecodeError> {
    let address: SocketAddr = p
        .address
        .parse()
        .map_err(|_| DecodeError::MissingPart("sender's address"))?;
    Ok(NodeId {
        id: p.id,
        incarnation: p.incarnation,
        life: p.life,
        address,
    })
}

/// A member as it is written.
pub fn member(m: Member) -> pb::Member {
    pb::Member {
        id: m.id,
        incarnation: m.incarnation,
    }
}

fn of_member(m: Option<pb::Member>) -> Result<Member, DecodeError> {
    let m = m.ok_or(DecodeError::MissingPart("member"))?;
    Ok(Member {
        id: m.id,
        incarnation: m.incarnation,
    })
}

fn value(v: &Value) -> pb::Value {
    use pb::value::Kind as K;
    let kind = match v {
        Value::Flag(b) => K::Flag(*b),
        Value::Int(n) => K::Int(*n),
        Value::Span(n) => K::Span(*n),
        Value::Bytes(n) => K::Bytes(*n),
        Value::Number(x) => K::Number(*x),
        Value::Text(t) => K::Text(t.clone()),
        Value::List(all) => K::List(pb::Values {
            values: all.iter().map(value).collect(),
        }),
    };
    pb::Value { kind: Some(kind) }
}

fn of_value(v: pb::Value, depth: usize) -> Result<Value, DecodeError> {
    use pb::value::Kind as K;
    Ok(match v.kind.ok_or(DecodeError::MissingPart("value"))? {
        K::Flag(b) => Value::Flag(b),
        K::Int(n) => Value::Int(n),
        K::Span(n) => Value::Span(n),
        K::Bytes(n) => Value::Bytes(n),
        K::Number(x) if x.is_finite() => Value::Number(x),
        K::Number(_) => return Err(DecodeError::MissingPart("number")),
        K::Text(t) => Value::Text(t),
        K::List(_) if depth == 0 => {
            return Err(DecodeError::MissingPart("value: lists within lists"))
        }
        K::List(all) => {
            let all = all.values.into_iter().map(|v| of_value(v, depth - 1));
            Value::List(all.collect::<Result<_, _>>()?)
        }
    })
}

/// A version as it is written.
pub fn settings(s: &VersionedSettings) -> pb::Settings {
    pb::Settings {
        version: s.version.0,
        fields: s
            .fields
            .iter()
            .map(|(p, v)| (p.clone(), value(v)))
            .collect(),
        why: s.reason.clone(),
        id: s.id,
    }
}

fn of_fields(fields: impl IntoIterator<Item = (String, pb::Value)>) -> Result<Fields, DecodeError> {
    let field = |(path, v)| Ok((words(path, "field's path")?, of_value(v, DEPTH)?));
    fields.into_iter().map(field).collect()
}

/// A version as it was written.
pub fn of_settings(s: pb::Settings) -> Result<VersionedSettings, DecodeError> {
    let fields = of_fields(s.fields)?;
    Ok(VersionedSettings {
        version: Version(s.version),
        fields,
        reason: words(s.why, "reason")?,
        id: s.id,
    })
}

/// What is acted on, as it is written.
pub fn state(s: &FleetState) -> pb::State {
    let phase = match s.next.as_ref().map(|(_, p)| p) {
        None => pb::Phase::None,
        Some(ChangePhase::Announced) => pb::Phase::Told,
        Some(ChangePhase::Joint) => pb::Phase::Joint,
        Some(ChangePhase::RolledBack) => pb::Phase::Back,
    };
    pb::State {
        step: s.revision.0,
        force: Some(settings(&s.in_force)),
        next: s.next.as_ref().map(|(n, _)| settings(n)),
        phase: phase as i32,
        trial: s.canary.as_ref().map(|t| pb::Trial {
            fields: t
                .fields
                .iter()
                .map(|(p, v)| (p.clone(), value(v)))
                .collect(),
            names: t.members.iter().cloned().collect(),
        }),
        // What says nothing to programs from before there were functions on their own is left out.
        versions_at: if s.versions_revision == s.revision {
            0
        } else {
            s.versions_revision.0
        },
        scopes_since: s.scopes_since.map_or(0, |s| s.0),
    }
}

/// What is acted on, as it was written.
pub fn of_state(s: pb::State) -> Result<FleetState, DecodeError> {
    let phase = match pb::Phase::try_from(s.phase) {
        Ok(pb::Phase::None) => None,
        Ok(pb::Phase::Told) => Some(ChangePhase::Announced),
        Ok(pb::Phase::Joint) => Some(ChangePhase::Joint),
        Ok(pb::Phase::Back) => Some(ChangePhase::RolledBack),
        Err(_) => return Err(DecodeError::MissingPart("phase")),
    };
    let force = of_settings(
        s.force
            .ok_or(DecodeError::MissingPart("version in force"))?,
    )?;
    let next = match (s.next, phase) {
        (Some(next), Some(phase)) => Some((of_settings(next)?, phase)),
        (None, None) => None,
        _ => return Err(DecodeError::MissingPart("version under way")),
    };
    let trial = s.trial.map(|t| {
        let names = t
            .names
            .into_iter()
            .map(|n| words(n, "name"))
            .collect::<Result<_, _>>()?;
        Ok(Box::new(Canary {
            fields: of_fields(t.fields)?,
            members: names,
        }))
    });
    let step = Revision(s.step);
    let versions_at = if s.versions_at == 0 {
        step
    } else {
        Revision(s.versions_at)
    };
    if versions_at > step {
        return Err(DecodeError::MissingPart("step of the versions"));
    }
    let (scopes_since, moves) = (
        Some(Revision(s.scopes_since)).filter(|s| s.0 != 0),
        ChangeHistory::after(step),
    );
    Ok(FleetState {
        revision: step,
        in_force: force,
        next,
        canary: trial.transpose()?,
        versions_revision: versions_at,
        scopes_since,
        history: moves,
    })
}

/// A roll's step as it is written.
pub fn roll_entry(
    entry: &tansy_rollout::RolloutEntry,
    fields: Option<&VersionedSettings>,
) -> pb::Roll {
    // Plain data always has an encoding.
    let entry = serde_json::to_string(entry).unwrap_or_default();
    pb::Roll {
        entry,
        fields: fields.map(settings),
    }
}

/// A roll's step as it was written.
pub fn of_roll_entry(
    r: pb::Roll,
) -> Result<(tansy_rollout::RolloutEntry, Option<Fields>), DecodeError> {
    let entry = serde_json::from_str(&r.entry)
        .map_err(|e| DecodeError::Malformed(format!("a roll's step: {e}")))?;
    let fields = r.fields.map(of_settings).transpose()?.map(|s| s.fields);
    Ok((entry, fields))
}

/// What a seat knows of the last roll; none: there was none.
pub fn of_roll(text: &str) -> Result<Option<tansy_rollout::Rollout>, DecodeError> {
    if text.is_empty() {
        return Ok(None);
    }
    serde_json::from_str(text)
        .map(Some)
        .map_err(|e| DecodeError::Malformed(format!("a roll: {e}")))
}

/// Distinct latencies of a class that are taken.
const LATENCIES: usize = 4096;

/// What a front end counted, as a look for a verdict. `new`: whether it is on the new side.
pub fn of_counts(
    c: pb::CountsReply,
    new: bool,
) -> Result<tansy_rollout::FrontEndObservation, DecodeError> {
    let mut classes = std::collections::BTreeMap::new();
    for c in c.classes {
        if c.took.len() != c.calls.len() || c.took.len() > LATENCIES {
            return Err(DecodeError::MissingPart("list of latencies"));
        }
        if !(c.wanted.is_finite() && c.worth.is_finite()) {
            return Err(DecodeError::MissingPart("worth"));
        }
        let mut t = tansy_canary::RequestCounters {
            requested: c.asked,
            served: c.served,
            rejected: c.refused,
            failed: c.failed,
            wanted: c.wanted,
            worth: c.worth,
            ..Default::default()
        };
        for (took, calls) in c.took.into_iter().zip(c.calls) {
            // A histogram of two digits grows by some bytes for each time it doubles.
            t.latency
                .record_n(took, calls)
                .map_err(|_| DecodeError::MissingPart("latency"))?;
        }
        classes.insert(words(c.class, "class")?, t);
    }
    let report = tansy_canary::FrontEndReport {
        name: words(c.name, "name")?,
        zone: words(c.zone, "zone")?,
        new,
        incarnation: c.incarnation,
        up: c.up as f64 / 1e6,
        classes,
        memory: c.memory as f64 / 1e6,
        guarded: c.guarded,
    };
    Ok(tansy_rollout::FrontEndObservation {
        ready: c.ready,
        report,
    })
}
