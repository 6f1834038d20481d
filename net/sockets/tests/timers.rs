//! Sleeps end in order and in time, and leave nothing behind.

use calloop::EventLoop;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_net_sockets::Spawner;

/// Runs a loop until the flag is set, at most so many seconds.
fn run(event_loop: &mut EventLoop<'static, ()>, done: &Cell<bool>, seconds: u64) {
    let until = Instant::now() + Duration::from_secs(seconds);
    while !done.get() && Instant::now() < until {
        event_loop
            .dispatch(Some(Duration::from_millis(100)), &mut ())
            .unwrap();
    }
    assert!(done.get(), "not done in {seconds} s");
}

#[test]
fn sleeps_end_in_their_order_and_none_early() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let spawner = Spawner::new(event_loop.handle()).unwrap();
    let (ended, done) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(false)));
    // Set in an order that arms the timer anew, and leaves it as it is.
    for ms in [30u64, 5, 20, 1, 0, 40] {
        let (sleeper, ended, done) = (spawner.clone(), ended.clone(), done.clone());
        spawner.spawn(async move {
            let began = Instant::now();
            sleeper.sleep(Duration::from_millis(ms)).await;
            assert!(
                began.elapsed() >= Duration::from_millis(ms),
                "{ms} ms ended early"
            );
            ended.borrow_mut().push(ms);
            done.set(ended.borrow().len() == 6);
        });
    }
    run(&mut event_loop, &done, 10);
    assert_eq!(*ended.borrow(), [0, 1, 5, 20, 30, 40]);
}

#[test]
fn a_sleep_that_is_dropped_leaves_nothing_and_one_that_never_ends_stands_no_one_in_the_way() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let spawner = Spawner::new(event_loop.handle()).unwrap();
    let timers = spawner.timers().clone();
    let for_ever = spawner.sleep(Duration::MAX);
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
    drop(for_ever);
    assert_eq!(timers.pending(), 0);
}
