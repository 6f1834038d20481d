//! Case 1: a worker's good answer whose array length does not fit is passed on as served, without the worker's result.

#[path = "../standins/platform.rs"]
mod platform;

use platform::*;
use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CALLS: usize = 120;
/// One in this many good answers is spoilt.
const SPOILT_ONE_IN: u64 = 8;
const LOAD: Duration = Duration::from_millis(300);
const WORK: Duration = Duration::from_millis(15);
/// A client reads for this long after its call's time; the rule allows half a second.
const PATIENCE: Duration = Duration::from_millis(500);

/// The results that workers made, by request id.
type Made = Arc<Mutex<HashMap<String, Vec<Vec<u8>>>>>;

fn main() {
    run_case(case);
}

fn start_worker(record: &Record, name: &str, made: &Made, spoil: bool) -> io::Result<Worker> {
    let (made, worker, log) = (made.clone(), name.to_string(), record.clone());
    let random = Mutex::new(Random(
        0x5eed_0001 + name.len() as u64 * 7919 + u64::from(name.as_bytes()[1]),
    ));
    Worker::start(
        record,
        name,
        LOAD,
        Arc::new(move |link, fired| {
            thread::sleep(WORK);
            let result = result_of(&worker, fired);
            made.lock()
                .unwrap()
                .entry(fired.id.clone())
                .or_default()
                .push(result.clone());
            let mut bytes = served(fired, &result);
            if spoil && random.lock().unwrap().below(SPOILT_ONE_IN) == 0 {
                // The length of the array: three strings are said, four follow.
                bytes[1] = b'3';
                log.write(&format!(
                    "{worker} ran {} and its answer is spoilt: *3 before four strings",
                    fired.id
                ));
            } else {
                log.write(&format!("{worker} ran {} and answers 200", fired.id));
            }
            link.write(&bytes);
        }),
    )
}

fn case(record: &Record, folder: &Path) -> io::Result<i32> {
    let spoil = has_trouble();
    let made = Made::default();
    let workers = [
        start_worker(record, "w1", &made, spoil)?,
        start_worker(record, "w2", &made, spoil)?,
    ];
    let list: Vec<Listed> = workers
        .iter()
        .map(|worker| Listed::ready(&worker.name, worker.address))
        .collect();
    let coordinator = Coordinator::start(record, &list)?;
    let front_end = FrontEnd::start(folder, &coordinator, &settings(""), LARGEST)?;
    let mut random = Random(0x5eed_c11e);
    let mut client = Client::new(front_end.address);
    let (mut answered, mut served_right, mut served_wrong, mut lost) = (0, 0, 0, 0);
    for number in 0..CALLS {
        let call = ClientCall {
            id: random.id(),
            function: "7f3a9c21e0b4d655".to_string(),
            class: if number % 3 == 0 { "order" } else { "read" },
            timeout: Duration::from_millis(2500),
            body: format!("call {number}").into_bytes(),
        };
        record.write(&format!("client sends {} class {}", call.id, call.class));
        let Some(answer) = client.call(&call, PATIENCE) else {
            record.print(&format!("broken: {} got no whole answer", call.id));
            lost += 1;
            continue;
        };
        answered += 1;
        record.write(&format!(
            "client got {} for {}: {:?}",
            answer.status,
            call.id,
            text(&answer.body)
        ));
        if answer.status != 200 {
            continue;
        }
        let was_made = made
            .lock()
            .unwrap()
            .get(&call.id)
            .is_some_and(|results| results.contains(&answer.body));
        if was_made {
            served_right += 1;
        } else {
            served_wrong += 1;
            record.print(&format!(
                "broken: {} ({}) was answered 200 with {:?}, which no worker made for it",
                call.id,
                call.class,
                text(&answer.body)
            ));
        }
    }
    drop(front_end);
    record.print(&format!("{CALLS} calls, {answered} answered, {served_right} served with the worker's result, {served_wrong} served with something else, {lost} lost"));
    if served_right == 0 {
        record.print("no call was served as it should: the case did not run");
        return Ok(NOT_RUN);
    }
    Ok(if served_wrong + lost > 0 {
        BROKEN
    } else {
        HELD
    })
}
