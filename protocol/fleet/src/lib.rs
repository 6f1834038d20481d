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
use tansy_agreement::lease::{Ask, Grant, Member};
use tansy_agreement::list::{Line, Standing, Worker, LEAVING};
use tansy_agreement::log::{Phase, Settings, State, Step, Trial, Version};
use tansy_agreement::member::Message;
use tansy_agreement::rule::{Fields, Value};
use tansy_agreement::scope::Moves;
use tansy_agreement::stay;
use tansy_fleet_node::{Body, Root};
use tansy_membership::Name;

/// The form of the messages; another one is turned away.
pub const FORM: u32 = 1;
/// Bytes of a letter.
pub const LARGEST: usize = 4 << 20;
/// Bytes of a name, an address or a reason.
pub const WORDS: usize = 4096;
/// Lists within lists.
const DEPTH: usize = 8;
/// The service's path.
pub const SERVICE: &str = "/tansy.fleet.Fleet/";

/// Why a letter is thrown away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bad {
    /// It can't be read at all.
    Noise(String),
    /// It is of another form: of a program that can't be understood.
    Form(u32),
    /// It is of another fleet.
    Fleet,
    /// A part is missing, or is no such thing.
    Part(&'static str),
}

impl std::fmt::Display for Bad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Bad::Noise(why) => write!(f, "a letter that can't be read: {why}"),
            Bad::Form(n) => {
                write!(f, "a letter of form {n}, this program knows form {FORM}: one of the two is too old")
            }
            Bad::Fleet => {
                write!(f, "a letter of another fleet: two fleets are wired to each other; look at fleet.name and fleet.seats")
            }
            Bad::Part(part) => write!(f, "a letter without a right {part}"),
        }
    }
}
impl std::error::Error for Bad {}

/// A letter as bytes.
pub fn letter(fleet: u64, from: &Name, root: Root, body: Body) -> Vec<u8> {
    use pb::letter::Body as B;
    let body = match body {
        Body::Members(bytes) => B::Members(bytes),
        Body::Lease(Message::Ask(a)) => {
            let from = Some(member(a.from));
            B::Ask(pb::Ask {
                from,
                seq: a.seq,
                at: a.at.0,
                has: a.has.0,
                deltas: a.deltas,
            })
        }
        Body::Lease(Message::Grant(g)) => B::Grant(pb::Grant {
            to: Some(member(g.to)),
            seq: g.seq,
            span: g.span,
            step: g.step.0,
            state: g.state.as_ref().map(state),
            delta: g.delta.as_ref().map(scopes::delta),
        }),
        Body::Lease(Message::Step(s)) => B::Step(s.0),
        Body::Lease(Message::Reached { from, at }) => B::Reached(pb::Reached {
            from: Some(member(from)),
            at: at.0,
        }),
        Body::AskStay(a, name, digest) => {
            let (from, scopes) = (Some(member(a.from)), a.scopes);
            B::StayAsk(pb::StayAsk {
                from,
                seq: a.seq,
                at: a.at.0,
                name,
                digest,
                scopes,
            })
        }
        Body::Leaving(lines, back) => {
            // One that is ready is no news to anybody.
            let leaves = lines.into_iter().filter(|l| l.standing != Standing::Ready);
            B::Leaving(pb::Leaving {
                lines: leaves.map(line).collect(),
                back,
            })
        }
        Body::Digest(digest) => B::Digest(digest),
        Body::Seats(bytes) => B::Seats(bytes),
        Body::Want(want) => B::Want(scopes::want(want)),
        Body::Scopes(reply) => B::Scopes(scopes::reply(reply)),
        Body::Head => B::Head(true),
        Body::Gone(m) => B::Gone(member(m)),
        Body::Stay(g) => B::StayGrant(pb::StayGrant {
            to: Some(member(g.to)),
            seq: g.seq,
            span: g.span,
        }),
    };
    let (root_term, root) = (root.term, root.id);
    pb::Letter {
        form: FORM,
        fleet,
        from: Some(process(from)),
        root_term,
        root,
        body: Some(body),
    }
    .encode_to_vec()
}

/// A letter of this fleet, with its sender and who leads in its eyes.
pub fn read(fleet: u64, bytes: &[u8]) -> Result<(Name, Root, Body), Bad> {
    let letter = pb::Letter::decode(bytes).map_err(|e| Bad::Noise(e.to_string()))?;
    if letter.form != FORM {
        return Err(Bad::Form(letter.form));
    } else if letter.fleet != fleet {
        return Err(Bad::Fleet);
    }
    let root = Root {
        term: letter.root_term,
        id: letter.root,
    };
    let from = name(letter.from.ok_or(Bad::Part("sender"))?)?;
    use pb::letter::Body as B;
    let body = match letter.body.ok_or(Bad::Part("body"))? {
        B::Members(bytes) => Body::Members(bytes),
        B::Ask(a) => Body::Lease(Message::Ask(Ask {
            from: of_member(a.from)?,
            seq: a.seq,
            at: Step(a.at),
            has: Step(a.has),
            deltas: a.deltas,
        })),
        B::Grant(g) => Body::Lease(Message::Grant(Grant {
            to: of_member(g.to)?,
            seq: g.seq,
            span: g.span,
            step: Step(g.step),
            state: g.state.map(of_state).transpose()?,
            delta: g.delta.map(|d| scopes::of_delta(d, g.step)).transpose()?,
        })),
        B::Step(n) => Body::Lease(Message::Step(Step(n))),
        B::Reached(r) => Body::Lease(Message::Reached {
            from: of_member(r.from)?,
            at: Step(r.at),
        }),
        B::StayAsk(a) => {
            let (from, at) = (of_member(a.from)?, Step(a.at));
            let ask = stay::Ask {
                from,
                seq: a.seq,
                at,
                scopes: a.scopes,
            };
            Body::AskStay(ask, words(a.name, "name")?, a.digest)
        }
        B::Leaving(l) => {
            if l.lines.len() > LEAVING {
                return Err(Bad::Part("number of workers"));
            }
            let lines = l.lines.into_iter().map(of_line).collect::<Result<_, _>>()?;
            Body::Leaving(lines, l.back)
        }
        B::Digest(digest) => Body::Digest(digest),
        B::Seats(bytes) => Body::Seats(bytes),
        B::Want(want) => Body::Want(scopes::of_want(want)?),
        B::Scopes(reply) => Body::Scopes(scopes::of_reply(reply)?),
        B::Head(_) => Body::Head,
        B::Gone(m) => Body::Gone(of_member(Some(m))?),
        B::StayGrant(g) => Body::Stay(stay::Grant {
            to: of_member(g.to)?,
            seq: g.seq,
            span: g.span,
        }),
    };
    Ok((from, root, body))
}

fn line(l: Line) -> pb::Line {
    let gone = l.standing == Standing::Gone;
    pb::Line {
        name: l.worker.name,
        address: l.worker.address,
        incarnation: l.incarnation,
        gone,
    }
}

fn of_line(l: pb::Line) -> Result<Line, Bad> {
    let worker = Worker {
        name: words(l.name, "worker's name")?,
        address: words(l.address, "worker's address")?,
    };
    let standing = if l.gone {
        Standing::Gone
    } else {
        Standing::Draining
    };
    Ok(Line {
        worker,
        incarnation: l.incarnation,
        standing,
    })
}

fn words(text: String, what: &'static str) -> Result<String, Bad> {
    if text.len() > WORDS {
        Err(Bad::Part(what))
    } else {
        Ok(text)
    }
}

/// A process as it is written.
pub fn process(name: &Name) -> pb::Process {
    let (id, incarnation, life) = (name.id, name.incarnation, name.life);
    pb::Process {
        id,
        incarnation,
        life,
        address: name.address.to_string(),
    }
}

fn name(p: pb::Process) -> Result<Name, Bad> {
    let address: SocketAddr = p
        .address
        .parse()
        .map_err(|_| Bad::Part("sender's address"))?;
    Ok(Name {
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

fn of_member(m: Option<pb::Member>) -> Result<Member, Bad> {
    let m = m.ok_or(Bad::Part("member"))?;
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

fn of_value(v: pb::Value, depth: usize) -> Result<Value, Bad> {
    use pb::value::Kind as K;
    Ok(match v.kind.ok_or(Bad::Part("value"))? {
        K::Flag(b) => Value::Flag(b),
        K::Int(n) => Value::Int(n),
        K::Span(n) => Value::Span(n),
        K::Bytes(n) => Value::Bytes(n),
        K::Number(x) if x.is_finite() => Value::Number(x),
        K::Number(_) => return Err(Bad::Part("number")),
        K::Text(t) => Value::Text(t),
        K::List(_) if depth == 0 => return Err(Bad::Part("value: lists within lists")),
        K::List(all) => {
            let all = all.values.into_iter().map(|v| of_value(v, depth - 1));
            Value::List(all.collect::<Result<_, _>>()?)
        }
    })
}

/// A version as it is written.
pub fn settings(s: &Settings) -> pb::Settings {
    pb::Settings {
        version: s.version.0,
        fields: s
            .fields
            .iter()
            .map(|(p, v)| (p.clone(), value(v)))
            .collect(),
        why: s.why.clone(),
        id: s.id,
    }
}

fn of_fields(fields: impl IntoIterator<Item = (String, pb::Value)>) -> Result<Fields, Bad> {
    let field = |(path, v)| Ok((words(path, "field's path")?, of_value(v, DEPTH)?));
    fields.into_iter().map(field).collect()
}

/// A version as it was written.
pub fn of_settings(s: pb::Settings) -> Result<Settings, Bad> {
    let fields = of_fields(s.fields)?;
    Ok(Settings {
        version: Version(s.version),
        fields,
        why: words(s.why, "reason")?,
        id: s.id,
    })
}

/// What is acted on, as it is written.
pub fn state(s: &State) -> pb::State {
    let phase = match s.next.as_ref().map(|(_, p)| p) {
        None => pb::Phase::None,
        Some(Phase::Told) => pb::Phase::Told,
        Some(Phase::Joint) => pb::Phase::Joint,
        Some(Phase::Back) => pb::Phase::Back,
    };
    pb::State {
        step: s.step.0,
        force: Some(settings(&s.force)),
        next: s.next.as_ref().map(|(n, _)| settings(n)),
        phase: phase as i32,
        trial: s.trial.as_ref().map(|t| pb::Trial {
            fields: t
                .fields
                .iter()
                .map(|(p, v)| (p.clone(), value(v)))
                .collect(),
            names: t.names.iter().cloned().collect(),
        }),
        // What says nothing to programs from before there were functions on their own is left out.
        versions_at: if s.versions_at == s.step {
            0
        } else {
            s.versions_at.0
        },
        scopes_since: s.scopes_since.map_or(0, |s| s.0),
    }
}

/// What is acted on, as it was written.
pub fn of_state(s: pb::State) -> Result<State, Bad> {
    let phase = match pb::Phase::try_from(s.phase) {
        Ok(pb::Phase::None) => None,
        Ok(pb::Phase::Told) => Some(Phase::Told),
        Ok(pb::Phase::Joint) => Some(Phase::Joint),
        Ok(pb::Phase::Back) => Some(Phase::Back),
        Err(_) => return Err(Bad::Part("phase")),
    };
    let force = of_settings(s.force.ok_or(Bad::Part("version in force"))?)?;
    let next = match (s.next, phase) {
        (Some(next), Some(phase)) => Some((of_settings(next)?, phase)),
        (None, None) => None,
        _ => return Err(Bad::Part("version under way")),
    };
    let trial = s.trial.map(|t| {
        let names = t
            .names
            .into_iter()
            .map(|n| words(n, "name"))
            .collect::<Result<_, _>>()?;
        Ok(Box::new(Trial {
            fields: of_fields(t.fields)?,
            names,
        }))
    });
    let step = Step(s.step);
    let versions_at = if s.versions_at == 0 {
        step
    } else {
        Step(s.versions_at)
    };
    if versions_at > step {
        return Err(Bad::Part("step of the versions"));
    }
    let (scopes_since, moves) = (
        Some(Step(s.scopes_since)).filter(|s| s.0 != 0),
        Moves::after(step),
    );
    Ok(State {
        step,
        force,
        next,
        trial: trial.transpose()?,
        versions_at,
        scopes_since,
        moves,
    })
}

/// A roll's step as it is written.
pub fn roll_entry(entry: &tansy_rollout::Entry, fields: Option<&Settings>) -> pb::Roll {
    // Plain data always has an encoding.
    let entry = serde_json::to_string(entry).unwrap_or_default();
    pb::Roll {
        entry,
        fields: fields.map(settings),
    }
}

/// A roll's step as it was written.
pub fn of_roll_entry(r: pb::Roll) -> Result<(tansy_rollout::Entry, Option<Fields>), Bad> {
    let entry =
        serde_json::from_str(&r.entry).map_err(|e| Bad::Noise(format!("a roll's step: {e}")))?;
    let fields = r.fields.map(of_settings).transpose()?.map(|s| s.fields);
    Ok((entry, fields))
}

/// What a seat knows of the last roll; none: there was none.
pub fn of_roll(text: &str) -> Result<Option<tansy_rollout::Roll>, Bad> {
    if text.is_empty() {
        return Ok(None);
    }
    serde_json::from_str(text)
        .map(Some)
        .map_err(|e| Bad::Noise(format!("a roll: {e}")))
}

/// Distinct latencies of a class that are taken.
const LATENCIES: usize = 4096;

/// What a front end counted, as a look for a verdict. `new`: whether it is on the new side.
pub fn of_counts(c: pb::CountsReply, new: bool) -> Result<tansy_rollout::Front, Bad> {
    let mut classes = std::collections::BTreeMap::new();
    for c in c.classes {
        if c.took.len() != c.calls.len() || c.took.len() > LATENCIES {
            return Err(Bad::Part("list of latencies"));
        }
        if !(c.wanted.is_finite() && c.worth.is_finite()) {
            return Err(Bad::Part("worth"));
        }
        let mut t = tansy_canary::Tally {
            asked: c.asked,
            served: c.served,
            refused: c.refused,
            failed: c.failed,
            wanted: c.wanted,
            worth: c.worth,
            ..Default::default()
        };
        for (took, calls) in c.took.into_iter().zip(c.calls) {
            // A histogram of two digits grows by some bytes for each time it doubles.
            t.latency
                .record_n(took, calls)
                .map_err(|_| Bad::Part("latency"))?;
        }
        classes.insert(words(c.class, "class")?, t);
    }
    let report = tansy_canary::Report {
        name: words(c.name, "name")?,
        zone: words(c.zone, "zone")?,
        new,
        incarnation: c.incarnation,
        up: c.up as f64 / 1e6,
        classes,
        memory: c.memory as f64 / 1e6,
        guarded: c.guarded,
    };
    Ok(tansy_rollout::Front {
        ready: c.ready,
        report,
    })
}
