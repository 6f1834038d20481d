//! Sleeps complete in order, never early, and leave no timeout behind.

use calloop::EventLoop;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_net_sockets::Spawner;

/// Runs the event loop until `done` is set, for at most `seconds`.
fn run(event_loop: &mut EventLoop<'static, ()>, done: &Cell<bool>, seconds: u64) {
    let until = Instant::now() + Duration::from_secs(seconds);
    while !done.get() && Instant::now() < until {
        event_loop
            .dispatch(Some(Duration::from_millis(100)), &mut ())
            .unwrap();
    }
    assert!(done.get(), "not done within {seconds} s");
}

#[test]
fn sleeps_complete_in_order_and_never_early() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let spawner = Spawner::new(event_loop.handle()).unwrap();
    let (completed, done) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(false)));
    // Some of these rearm the timer, others do not.
    for ms in [30u64, 5, 20, 1, 0, 40] {
        let (sleeper, completed, done) = (spawner.clone(), completed.clone(), done.clone());
        spawner.spawn(async move {
            let start = Instant::now();
            sleeper.sleep(Duration::from_millis(ms)).await;
            assert!(
                start.elapsed() >= Duration::from_millis(ms),
                "the sleep of {ms} ms completed early"
            );
            completed.borrow_mut().push(ms);
            done.set(completed.borrow().len() == 6);
        });
    }
    run(&mut event_loop, &done, 10);
    assert_eq!(*completed.borrow(), [0, 1, 5, 20, 30, 40]);
}

#[test]
fn dropped_sleeps_are_removed_and_endless_sleeps_delay_no_others() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let spawner = Spawner::new(event_loop.handle()).unwrap();
    let timers = spawner.timers().clone();
    let endless = spawner.sleep(Duration::MAX);
    for _ in 0..1000 {
        drop(spawner.sleep(Duration::from_millis(1)));
    }
    assert_eq!(timers.pending(), 1);
    let done = Rc::new(Cell::new(false));
    let (sleeper, flag) = (spawner.clone(), done.clone());
    spawner.spawn(async move {
        sleeper.sleep(Duration::from_millis(10)).await;
        flag.set(true);
    });
    run(&mut event_loop, &done, 10);
    assert_eq!(timers.pending(), 1);
    drop(endless);
    assert_eq!(timers.pending(), 0);
}
