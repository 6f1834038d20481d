//! What is asked of this front end: letters of its siblings, and operators' requests.

use crate::transport::FleetTransport;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::Request;
use prost::Message;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tansy_agreement::compatibility::{changes, AffectedCalls, Compatibility, Fields};
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::log::{ApplyOutcome, FleetState, LogEntry, ReplacementPhase, Version};
use tansy_agreement::scope::{ScopeTransaction, MAX_UPDATES_PER_TRANSACTION};
use tansy_fleet_node::{number, FleetNode, RequestRejection};
use tansy_fleet_wire::{
    member, of_roll_entry, of_scope_request, of_settings, pb, process, scoped, settings, state,
    DecodeError, MAX_MESSAGE_BYTES, SERVICE,
};
use tansy_frames::grpc::Code;
use tansy_net_grpc::server::{
    respond_trailers_only, respond_unary as reply, status_trailers, RequestHandler, RequestMessages,
};
use tansy_net_sockets::within;

/// Time for a request to come in whole.
const REQUEST_WITHIN: Duration = Duration::from_secs(5);
/// Time for an entry to be held.
const ENTRY_WITHIN: Duration = Duration::from_secs(10);

type Answer = Result<Vec<u8>, (Code, String)>;

pub(crate) fn handler(peers: Rc<FleetTransport>, fleet: u64) -> RequestHandler {
    Rc::new(move |request, respond| {
        let peers = peers.clone();
        let spawner = peers.spawner.clone();
        spawner.spawn(async move { serve(&peers, fleet, request, respond).await });
    })
}

async fn serve(
    peers: &Rc<FleetTransport>,
    fleet: u64,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let (parts, body) = request.into_parts();
    let method = parts
        .uri
        .path()
        .strip_prefix(SERVICE)
        .unwrap_or("")
        .to_string();
    let mut messages = RequestMessages::new(body, MAX_MESSAGE_BYTES);
    let mut first = None;
    let message = poll_fn(|cx| messages.poll_unary(&mut first, cx));
    let message = within(peers.spawner.sleep(REQUEST_WITHIN), message).await;
    let Some(Ok(Some(message))) = message else {
        return respond_trailers_only(
            &mut respond,
            status_trailers(Code::InvalidArgument, "no message came whole"),
        );
    };
    let answer = match method.as_str() {
        "Tell" => tell(peers, &message),
        "Status" => status(peers, fleet, &message),
        "Enter" => enter(peers, fleet, &message).await,
        "History" => history(peers, fleet, &message),
        "Counts" => counts(peers, fleet, &message),
        "Roll" => roll(peers, fleet, &message),
        "Functions" => functions(peers, fleet, &message),
        _ => Err((
            Code::Unimplemented,
            format!("{method:?} is no method of a fleet's front end"),
        )),
    };
    match answer {
        Ok(bytes) => reply(respond, &bytes, status_trailers(Code::Ok, "")),
        Err((code, why)) => respond_trailers_only(&mut respond, status_trailers(code, &why)),
    }
}

fn tell(peers: &Rc<FleetTransport>, bytes: &[u8]) -> Answer {
    match peers.on_datagram(bytes) {
        Ok(()) => Ok(pb::Accepted {}.encode_to_vec()),
        Err(bad) => {
            let code = match bad {
                DecodeError::UnknownFormat(_) | DecodeError::OtherFleet => Code::FailedPrecondition,
                DecodeError::Malformed(_) | DecodeError::MissingPart(_) => Code::InvalidArgument,
            };
            Err((code, bad.to_string()))
        }
    }
}

/// An operator may leave the fleet out; one that names another is turned away.
fn same(peers: &FleetTransport, asked: u64, fleet: u64) -> Result<(), (Code, String)> {
    if asked == 0 || asked == fleet {
        return Ok(());
    }
    Err((
        Code::FailedPrecondition,
        format!("this front end is of the fleet {:?}", peers.fleet),
    ))
}

fn bad(e: &impl std::fmt::Display) -> (Code, String) {
    (Code::InvalidArgument, e.to_string())
}

fn in_words(touch: &AffectedCalls) -> String {
    match touch {
        AffectedCalls::All => "all".into(),
        AffectedCalls::Class(n) => format!("class {n}"),
        AffectedCalls::Tenant(n) => format!("tenant {n}"),
        AffectedCalls::Function(n) => format!("function {n}"),
    }
}

fn status(peers: &FleetTransport, fleet: u64, bytes: &[u8]) -> Answer {
    let asked = pb::StatusRequest::decode(bytes).map_err(|e| bad(&e))?;
    same(peers, asked.fleet, fleet)?;
    let reply = peers.with_node(|p, now| {
        let (setup, acting) = (p.setup(), p.active_state(now));
        let contested = acting
            .state
            .map(|s| s.conflicting_fields(&setup.schema))
            .unwrap_or_default();
        let mut contested: Vec<String> = contested.iter().map(|c| in_words(&c.affected)).collect();
        contested.sort();
        contested.dedup();
        let roster = p
            .log()
            .map(|l| l.roster().collect::<Vec<_>>())
            .unwrap_or_default();
        let waits = p.change_blockers(now);
        pb::StatusReply {
            fleet: peers.fleet.clone(),
            name: setup.name.clone(),
            process: Some(process(&setup.node)),
            seat: p.leader_address().to_string(),
            seats: p.voters().iter().map(|s| s.1.to_string()).collect(),
            keeps_log: p.log().is_some(),
            seating: p
                .agreed()
                .and_then(|(_, l)| l.voter_replacement())
                .map(|s| pb::VoterReplacement {
                    new: s.address.to_string(),
                    instead: p
                        .address(s.replaced)
                        .map(|a| a.to_string())
                        .unwrap_or_default(),
                    votes: s.phase == ReplacementPhase::JointConsensus,
                }),
            state: acting.state.map(state),
            lease_left: acting.lease,
            stay_left: acting.session,
            others: p.others().map(process).collect(),
            contested: contested
                .into_iter()
                .map(|calls| pb::ConflictingCalls { calls })
                .collect(),
            roster: roster
                .into_iter()
                .map(|(m, n)| pb::Rostered {
                    member: Some(member(m)),
                    name: n.into(),
                })
                .collect(),
            waits_for_leases: waits.as_ref().is_some_and(|w| w.leases),
            waits_for: waits
                .map(|w| w.sessions.into_iter().map(member).collect())
                .unwrap_or_default(),
            error: peers.error.borrow().clone().unwrap_or_default(),
            holds: p.subscription_count() as u64,
            changing: changing(p, now),
        }
    });
    Ok(reply.encode_to_vec())
}

async fn enter(peers: &Rc<FleetTransport>, fleet: u64, bytes: &[u8]) -> Answer {
    use pb::enter_request::Entry as E;
    let asked = pb::EnterRequest::decode(bytes).map_err(|e| bad(&e))?;
    same(peers, asked.fleet, fleet)?;
    let entry = match asked.entry.ok_or_else(|| bad(&"no entry"))? {
        E::Propose(s) => {
            let s = of_settings(s).map_err(|e| bad(&e))?;
            if s.id == 0 {
                return Err(bad(
                    &"a proposal without an id of its own: asked again, it could not be told from another",
                ));
            }
            (peers.check)(&s.fields).map_err(|e| bad(&e))?;
            LogEntry::Propose {
                id: s.id,
                base: s.version,
                fields: s.fields,
                reason: s.reason,
            }
        }
        E::Abandon(version) => LogEntry::Abandon {
            version: Version(version),
        },
        E::Dismiss(name) => {
            let found = peers.with_node(|p, _| {
                let log = p.log()?;
                let found = log.roster().find(|(_, n)| *n == name).map(|(m, _)| m);
                Some(found)
            });
            match found {
                Some(Some(member)) => LogEntry::Leave { member },
                Some(None) => {
                    return Err((
                        Code::NotFound,
                        format!("nobody named {name:?} is on the roster"),
                    ))
                }
                None => LogEntry::Abandon {
                    version: Version(0),
                },
            }
        }
        E::Seat(s) => seat(peers, &s)?,
        E::Roll(r) => {
            let (entry, fields) = of_roll_entry(r).map_err(|e| bad(&e))?;
            if let Some(fields) = &fields {
                (peers.check)(fields).map_err(|e| bad(&e))?;
                staged(peers, fields)?;
            }
            LogEntry::Rollout {
                entry: Box::new(entry),
                fields,
            }
        }
        E::Change(c) => {
            let request = of_scope_request(c).map_err(|e| bad(&e))?;
            if request.id == 0 {
                return Err(bad(
                    &"a change without an id of its own: asked again, it could not be told from another",
                ));
            }
            sensible(peers, &request)?;
            LogEntry::UpdateScopes {
                transactions: vec![request],
            }
        }
    };
    let slot = peers.enter(entry);
    let slot = slot.ok_or((
        Code::ResourceExhausted,
        "too many requests wait: ask again later".into(),
    ))?;
    let outcome = within(
        peers.spawner.sleep(ENTRY_WITHIN),
        poll_fn(|cx| slot.poll(cx)),
    )
    .await;
    let Some(outcome) = outcome else {
        let why =
            "the seat's disk did not hold it in time: ask again, with the same id, to learn what came of it";
        return Err((Code::Unavailable, why.into()));
    };
    match outcome {
        Ok(applied) => {
            let version = match &applied {
                ApplyOutcome::Announced(v) | ApplyOutcome::Duplicate(v) => v.0,
                ApplyOutcome::Advanced(_)
                | ApplyOutcome::Roster
                | ApplyOutcome::Voters
                | ApplyOutcome::Rollout => 0,
                ApplyOutcome::ScopesChanged { .. } => 0,
            };
            let step = match &applied {
                ApplyOutcome::ScopesChanged { revision: step, .. } => step.0,
                _ => 0,
            };
            Ok(pb::EnterReply {
                version,
                again: matches!(applied, ApplyOutcome::Duplicate(_)),
                step,
            }
            .encode_to_vec())
        }
        Err(refusal) => {
            let code = match refusal {
                RequestRejection::Log(_) => Code::Aborted,
                RequestRejection::NotLeader { .. } => Code::FailedPrecondition,
                RequestRejection::Busy => Code::ResourceExhausted,
                RequestRejection::Storage(_) | RequestRejection::LeadershipLost => {
                    Code::Unavailable
                }
            };
            Err((code, refusal.to_string()))
        }
    }
}

/// Whether functions would make sense as they are to be.
fn sensible(peers: &FleetTransport, request: &ScopeTransaction) -> Result<(), (Code, String)> {
    peers.with_node(|p, now| {
        // Nobody knows the classes yet: the seat that leads does, or says who does.
        let Some(state) = p.active_state(now).state else {
            return Ok(());
        };
        let set = request
            .updates
            .iter()
            .filter_map(|c| Some((&c.scope, c.fields.as_ref()?)));
        let mut wrong =
            set.filter_map(|(name, fields)| (peers.check_function)(name, fields, state).err());
        wrong.next().map_or(Ok(()), |why| Err(bad(&why)))
    })
}

fn functions(peers: &FleetTransport, fleet: u64, bytes: &[u8]) -> Answer {
    let asked = pb::FunctionsRequest::decode(bytes).map_err(|e| bad(&e))?;
    same(peers, asked.fleet, fleet)?;
    if asked.names.len() > MAX_UPDATES_PER_TRANSACTION {
        return Err(bad(&format!(
            "{} functions are asked for: want at most {MAX_UPDATES_PER_TRANSACTION}",
            asked.names.len()
        )));
    }
    peers.with_node(|p, now| {
        let Some((_, log)) = p.agreed() else {
            let why = format!("this front end keeps no log: ask {}", p.leader_address());
            return Err((Code::FailedPrecondition, why));
        };
        let one = |name: String| pb::Named {
            scoped: log.catalog().get(&name).map(scoped),
            name,
        };
        let requested = log
            .catalog()
            .transaction_result(asked.id)
            .map(|r| pb::TransactionResult {
                step: r.revision.0,
                joint: r.joint,
                force: r.in_force,
                back: r.reverted,
            });
        let reply = pb::FunctionsReply {
            functions: asked.names.into_iter().map(one).collect(),
            request: requested,
            waits: changing(p, now),
        };
        Ok(reply.encode_to_vec())
    })
}

/// Functions that change one by one, with whom each waits for, by name.
fn changing(p: &FleetNode, now: Time) -> Vec<pb::Waiting> {
    let roster: Vec<(Member, &str)> = p.log().map(|l| l.roster().collect()).unwrap_or_default();
    let name = |m: &Member| {
        roster
            .iter()
            .find(|r| r.0 == *m)
            .map_or("", |r| r.1)
            .to_string()
    };
    let rostered = |m: Member| pb::Rostered {
        member: Some(member(m)),
        name: name(&m),
    };
    let all = p.change_blockers(now).map(|w| w.scopes).unwrap_or_default();
    let one = |(name, behind): (String, Vec<Member>)| pb::Waiting {
        name,
        behind: behind.into_iter().map(rostered).collect(),
    };
    all.into_iter().map(one).collect()
}

/// The entry by which a front end that is there begins to take over from a seat, dead or alive.
fn seat(peers: &FleetTransport, asked: &pb::Seat) -> Result<LogEntry, (Code, String)> {
    let (new, instead) = (number(&asked.new), number(&asked.instead));
    let address = peers.with_node(|p, _| p.others().find(|o| o.id == new).map(|o| o.address));
    match address {
        Some(address) => Ok(LogEntry::BeginVoterReplacement {
            new,
            address,
            replaced: instead,
        }),
        None => Err((
            Code::NotFound,
            format!(
                "no front end named {:?} is there: start it with --state, then ask again",
                asked.new
            ),
        )),
    }
}

/// Whether these settings may be tried by some front ends while others act on those in force.
fn staged(peers: &FleetTransport, fields: &Fields) -> Result<(), (Code, String)> {
    let strict = peers.with_node(|p, now| {
        let state = p.active_state(now).state?;
        let all = changes(&p.setup().schema, &state.in_force.fields, fields);
        let strict = all
            .into_iter()
            .filter(|c| c.compatibility == Compatibility::Strict)
            .map(|c| c.path);
        Some(strict.collect::<Vec<_>>().join(", "))
    });
    match strict {
        Some(paths) if !paths.is_empty() => {
            let why = format!("{paths}: strict, never two things at once, so that it can't be tried in stages: propose it alone");
            Err((Code::FailedPrecondition, why))
        }
        _ => Ok(()),
    }
}

fn roll(peers: &FleetTransport, fleet: u64, bytes: &[u8]) -> Answer {
    let asked = pb::RollRequest::decode(bytes).map_err(|e| bad(&e))?;
    same(peers, asked.fleet, fleet)?;
    peers.with_node(|p, _| {
        let Some((_, log)) = p.agreed() else {
            let why = format!("this front end keeps no log: ask {}", p.leader_address());
            return Err((Code::FailedPrecondition, why));
        };
        let (label, path) = log.program().unwrap_or_default();
        let reply = pb::RollReply {
            roll: log
                .rollout()
                .and_then(|r| serde_json::to_string(r).ok())
                .unwrap_or_default(),
            label: label.into(),
            path: path.into(),
            leads: p.log().is_some(),
        };
        Ok(reply.encode_to_vec())
    })
}

fn counts(peers: &FleetTransport, fleet: u64, bytes: &[u8]) -> Answer {
    let asked = pb::CountsRequest::decode(bytes).map_err(|e| bad(&e))?;
    same(peers, asked.fleet, fleet)?;
    let mut reply = (peers.counts)();
    let l = peers.traffic();
    let (taken, taken_bytes, sent, sent_bytes) =
        (l.received, l.received_bytes, l.sent, l.sent_bytes);
    reply.letters = Some(pb::Letters {
        taken,
        taken_bytes,
        sent,
        sent_bytes,
        dropped: peers.dropped(),
    });
    peers.with_node(|p, now| {
        let (setup, acting) = (p.setup(), p.active_state(now));
        reply.name = setup.name.clone();
        reply.incarnation = setup.node.incarnation;
        reply.ready = acting.lease > 0 && acting.session > 0 && acting.state.is_some();
        reply.up = p.active_for(now);
        reply.seat = p.voters().iter().any(|s| s.0 == setup.node.id);
        let tries = |s: &FleetState| {
            s.next.is_none()
                && s.canary
                    .as_ref()
                    .is_some_and(|t| t.members.contains(&setup.name))
        };
        reply.tries = acting.state.is_some_and(tries);
    });
    Ok(reply.encode_to_vec())
}

fn history(peers: &FleetTransport, fleet: u64, bytes: &[u8]) -> Answer {
    let asked = pb::HistoryRequest::decode(bytes).map_err(|e| bad(&e))?;
    same(peers, asked.fleet, fleet)?;
    peers.with_node(|p, _| {
        let Some(log) = p.log() else {
            let why = format!(
                "this front end does not lead the fleet: ask {}",
                p.leader_address()
            );
            return Err((Code::FailedPrecondition, why));
        };
        let s = log.state();
        let reply = pb::HistoryReply {
            versions: log.history().map(settings).collect(),
            force: s.in_force.version.0,
            next: s.next.as_ref().map_or(0, |(n, _)| n.version.0),
        };
        Ok(reply.encode_to_vec())
    })
}
