//! All time-outs of a loop behind one timer of the loop library.
//!
//! The library keeps its sources in a list that is searched when one is added, and its timers in a heap that is searched
//! when one is taken out: with a timer for each slow client, each client would make every other's timers slower. A wheel
//! sets and clears in a few steps however many there are (`tansy_timer_wheel`).

use calloop::timer::{TimeoutAction, Timer};
use calloop::{Dispatcher, LoopHandle, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tansy_timer_wheel::{Handle, Wheel};

/// Ticks of the wheel, microseconds: a time-out ends at most so late.
const TICK: i64 = 100;

/// The time-outs of one loop.
pub struct Timers {
    epoch: Instant,
    handle: LoopHandle<'static, ()>,
    wheel: RefCell<Wheel<Option<Waker>>>,
    source: Dispatcher<'static, Timer, ()>,
    token: Cell<Option<RegistrationToken>>,
    /// When the loop's timer falls due, on the wheel's clock; none: it does not.
    armed: Cell<Option<i64>>,
    due: RefCell<Vec<Option<Waker>>>,
}

impl Timers {
    /// Puts its one timer on a loop.
    pub fn new(handle: LoopHandle<'static, ()>) -> io::Result<Rc<Timers>> {
        let timers = Rc::new_cyclic(|weak: &Weak<Timers>| {
            let weak = weak.clone();
            let fired = move |_, _: &mut (), _: &mut ()| match weak.upgrade() {
                Some(timers) => timers.fired(),
                None => TimeoutAction::Drop,
            };
            Timers {
                epoch: Instant::now(),
                handle: handle.clone(),
                wheel: RefCell::new(Wheel::new(0, TICK)),
                source: Dispatcher::new(Timer::immediate(), fired),
                token: Cell::new(None),
                armed: Cell::new(Some(0)),
                due: RefCell::new(Vec::new()),
            }
        });
        let token = handle.register_dispatcher(timers.source.clone());
        timers.token.set(Some(token.map_err(io::Error::other)?));
        Ok(timers)
    }

    fn now(&self) -> i64 {
        micros(self.epoch.elapsed())
    }

    /// Ends after so long.
    pub fn sleep(self: &Rc<Self>, span: Duration) -> Sleep {
        let at = self.now().saturating_add(micros(span));
        let handle = self.wheel.borrow_mut().set(at, None);
        if self.armed.get().is_none_or(|t| at < t) {
            self.arm(at);
        }
        Sleep {
            timers: self.clone(),
            handle,
        }
    }

    /// How long the loop may wait for the next of them.
    pub fn next_in(&self) -> Option<Duration> {
        let at = self.armed.get()?;
        Some(self.instant(at).saturating_duration_since(Instant::now()))
    }

    fn arm(&self, at: i64) {
        self.armed.set(Some(at));
        self.source.as_source_mut().set_deadline(self.instant(at));
        if let Some(token) = self.token.get() {
            // Fails only for a source that is not there, and this one goes with the loop.
            let _ = self.handle.update(&token);
        }
    }

    fn instant(&self, at: i64) -> Instant {
        // The tick after it has begun by then. What can't be said in the clock's range is looked at in a day.
        let span = Duration::from_micros(at.saturating_add(TICK).max(0) as u64);
        self.epoch
            .checked_add(span)
            .unwrap_or_else(|| Instant::now() + Duration::from_secs(86_400))
    }

    /// Wakes what is due; the loop's timer runs again at the next.
    fn fired(&self) -> TimeoutAction {
        let mut due = self.due.take();
        let next = {
            let mut wheel = self.wheel.borrow_mut();
            wheel.expire(self.now(), |w| due.push(w));
            wheel.next()
        };
        due.drain(..).flatten().for_each(Waker::wake);
        self.due.replace(due);
        self.armed.set(next);
        match next {
            Some(at) => TimeoutAction::ToInstant(self.instant(at)),
            // Far off; whatever is set meanwhile arms it anew.
            None => TimeoutAction::ToDuration(Duration::from_secs(86_400)),
        }
    }
}

fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

/// Ends when its time has come. Dropped before, it leaves nothing behind.
pub struct Sleep {
    timers: Rc<Timers>,
    handle: Handle,
}

impl Future for Sleep {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        match self.timers.wheel.borrow_mut().get_mut(self.handle) {
            None => Poll::Ready(()),
            Some(waker) => {
                if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
                    *waker = Some(cx.waker().clone());
                }
                Poll::Pending
            }
        }
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.timers.wheel.borrow_mut().clear(self.handle);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Spawner;
    use calloop::EventLoop;

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
            let (s, ended, done) = (spawner.clone(), ended.clone(), done.clone());
            spawner.spawn(async move {
                let began = Instant::now();
                s.sleep(Duration::from_millis(ms)).await;
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
        assert_eq!(timers.wheel.borrow().len(), 1);
        let done = Rc::new(Cell::new(false));
        let (s, flag) = (spawner.clone(), done.clone());
        spawner.spawn(async move {
            s.sleep(Duration::from_millis(10)).await;
            flag.set(true);
        });
        run(&mut event_loop, &done, 10);
        assert_eq!(timers.wheel.borrow().len(), 1);
        drop(for_ever);
        assert!(timers.wheel.borrow().is_empty());
    }
}
