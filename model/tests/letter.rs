//! What the model takes for a letter's size is what the letter takes.

use std::collections::BTreeSet;
use std::sync::Arc;
use tansy_agreement::hold::{Epoch, Reply, Want};
use tansy_agreement::lease::{Ask, Grant, Member};
use tansy_agreement::list::{Line, Standing, Worker};
use tansy_agreement::log::{Phase, Settings, State, Step, Trial, Version};
use tansy_agreement::member::Message;
use tansy_agreement::rule::{Fields, Value};
use tansy_agreement::scope::{Delta, Move, Moves, Scoped, Standing as Stands};
use tansy_agreement::stay;
use tansy_fleet_node::{Body, Root};
use tansy_fleet_wire::letter;
use tansy_membership::Name;
use tansy_model::letter::size;

/// Numbers of all lengths, nought among them.
fn number(rng: &mut fastrand::Rng) -> u64 {
    if rng.u32(0..8) == 0 {
        0
    } else {
        rng.u64(..) >> rng.u32(0..64)
    }
}

fn member(rng: &mut fastrand::Rng) -> Member {
    Member {
        id: number(rng),
        incarnation: number(rng),
    }
}

fn text(rng: &mut fastrand::Rng) -> String {
    let len = number(rng) as usize % 200;
    std::iter::repeat_with(|| rng.alphanumeric())
        .take(len)
        .collect()
}

fn value(rng: &mut fastrand::Rng, depth: usize) -> Value {
    let n = number(rng) as i64;
    match rng.u32(0..if depth > 0 { 7 } else { 6 }) {
        0 => Value::Flag(rng.bool()),
        1 => Value::Int(-n),
        2 => Value::Span(n),
        3 => Value::Bytes(n),
        4 => Value::Number(rng.f64()),
        5 => Value::Text(text(rng)),
        _ => Value::List(
            (0..rng.usize(0..4))
                .map(|_| value(rng, depth - 1))
                .collect(),
        ),
    }
}

fn fields(rng: &mut fastrand::Rng) -> Fields {
    (0..rng.usize(0..30))
        .map(|_| (text(rng), value(rng, 2)))
        .collect()
}

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let (version, fields, why) = (Version(number(rng)), fields(rng), text(rng));
    Settings {
        version,
        fields,
        why,
        id: number(rng),
    }
}

fn state(rng: &mut fastrand::Rng) -> State {
    let names = |rng: &mut fastrand::Rng| {
        (0..rng.usize(0..5))
            .map(|_| text(rng))
            .collect::<BTreeSet<_>>()
    };
    let step = Step(number(rng));
    State {
        step,
        versions_at: if rng.bool() { step } else { Step(number(rng)) },
        scopes_since: rng.bool().then(|| Step(number(rng))),
        moves: Moves::after(step),
        force: settings(rng),
        next: rng.bool().then(|| (settings(rng), Phase::Joint)),
        trial: rng.bool().then(|| {
            Box::new(Trial {
                fields: fields(rng),
                names: names(rng),
            })
        }),
    }
}

fn scoped(rng: &mut fastrand::Rng) -> Scoped {
    let (since, next) = (Step(number(rng)), rng.bool().then(|| fields(rng)));
    let standing = match rng.u32(0..4) {
        0 => Stands::Settled,
        1 => Stands::Joint { next, since },
        2 => Stands::Settling { since },
        _ => Stands::Back { since },
    };
    Scoped {
        revision: Step(number(rng)),
        fields: rng.bool().then(|| fields(rng)),
        standing,
    }
}

fn delta(rng: &mut fastrand::Rng) -> Delta {
    let one = |rng: &mut fastrand::Rng| {
        Arc::new(Move {
            step: Step(number(rng)),
            scope: text(rng),
            to: scoped(rng),
        })
    };
    let (from, to) = (Step(number(rng)), Step(number(rng)));
    Delta {
        from,
        to,
        moves: (0..rng.usize(0..4)).map(|_| one(rng)).collect(),
    }
}

fn epoch(rng: &mut fastrand::Rng) -> Epoch {
    Epoch {
        term: number(rng),
        count: number(rng),
    }
}

fn want(rng: &mut fastrand::Rng) -> Want {
    let numbers = |rng: &mut fastrand::Rng| {
        (0..rng.usize(0..20))
            .map(|_| number(rng))
            .collect::<Vec<_>>()
    };
    let (from, epoch, seq, at) = (member(rng), epoch(rng), number(rng), Step(number(rng)));
    let scopes = (0..rng.usize(0..5)).map(|_| text(rng)).collect();
    Want {
        from,
        epoch,
        seq,
        at,
        scopes,
        drops: numbers(rng),
        all: rng.bool().then(|| numbers(rng)),
    }
}

fn reply(rng: &mut fastrand::Rng) -> Reply {
    let (to, epoch, at) = (member(rng), epoch(rng), Step(number(rng)));
    let seq = rng.bool().then(|| 1 + (number(rng) >> 1));
    let one = |rng: &mut fastrand::Rng| (text(rng), rng.bool().then(|| scoped(rng)));
    Reply {
        to,
        epoch,
        seq,
        at,
        scopes: (0..rng.usize(0..5)).map(|_| one(rng)).collect(),
    }
}

fn line(rng: &mut fastrand::Rng) -> Line {
    let standing = rng
        .choice([Standing::Ready, Standing::Draining, Standing::Gone])
        .expect("one of three");
    Line {
        worker: Worker {
            name: text(rng),
            address: text(rng),
        },
        incarnation: number(rng),
        standing,
    }
}

fn body(rng: &mut fastrand::Rng) -> Body {
    let bytes = |rng: &mut fastrand::Rng| vec![7; number(rng) as usize % 3000];
    let step = |rng: &mut fastrand::Rng| Step(number(rng));
    match rng.u32(0..14) {
        0 => Body::Members(bytes(rng)),
        1 => {
            let from = member(rng);
            let deltas = rng.bool();
            Body::Lease(Message::Ask(Ask {
                from,
                seq: number(rng),
                at: step(rng),
                has: step(rng),
                deltas,
            }))
        }
        2 | 3 => {
            let (to, seq, span) = (member(rng), number(rng), rng.i64(-1..600_000));
            let state = rng.bool().then(|| state(rng));
            let delta = rng.bool().then(|| delta(rng));
            Body::Lease(Message::Grant(Grant {
                to,
                seq,
                span,
                step: step(rng),
                state,
                delta,
            }))
        }
        4 => Body::Lease(Message::Step(step(rng))),
        5 => Body::Lease(Message::Reached {
            from: member(rng),
            at: step(rng),
        }),
        6 => {
            let scopes = rng.bool();
            let ask = stay::Ask {
                from: member(rng),
                seq: number(rng),
                at: step(rng),
                scopes,
            };
            Body::AskStay(ask, text(rng), number(rng))
        }
        7 => Body::Stay(stay::Grant {
            to: member(rng),
            seq: number(rng),
            span: rng.i64(0..3_600_000_000),
        }),
        8 => Body::Gone(member(rng)),
        9 => Body::Leaving(
            (0..rng.usize(0..20)).map(|_| line(rng)).collect(),
            rng.bool(),
        ),
        10 => Body::Digest(number(rng)),
        11 => Body::Want(want(rng)),
        12 => Body::Scopes(reply(rng)),
        _ if rng.bool() => Body::Seats(bytes(rng)),
        _ => Body::Head,
    }
}

#[test]
fn a_letter_is_as_long_as_it_is_counted() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..4000 {
        let address = match rng.bool() {
            true => (rng.u32(..).to_be_bytes(), rng.u16(..)).into(),
            false => (rng.u128(..).to_be_bytes(), rng.u16(..)).into(),
        };
        let from = Name {
            id: number(&mut rng),
            incarnation: number(&mut rng),
            life: rng.u32(0..3),
            address,
        };
        let root = Root {
            term: number(&mut rng),
            id: number(&mut rng),
        };
        let body = body(&mut rng);
        let counted = size(&from, root, &body);
        let told = format!("{body:?}");
        assert_eq!(letter(u64::MAX, &from, root, body).len(), counted, "{told}");
    }
}
