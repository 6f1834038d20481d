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

/// A tick of the wheel, microseconds: a time-out ends at most so late.
const TICK_MICROS: i64 = 100;

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
            let on_fired = move |_, _: &mut (), _: &mut ()| match weak.upgrade() {
                Some(timers) => timers.on_fired(),
                None => TimeoutAction::Drop,
            };
            Timers {
                epoch: Instant::now(),
                handle: handle.clone(),
                wheel: RefCell::new(Wheel::new(0, TICK_MICROS)),
                source: Dispatcher::new(Timer::immediate(), on_fired),
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
        to_micros(self.epoch.elapsed())
    }

    /// Ends after so long.
    pub fn sleep(self: &Rc<Self>, span: Duration) -> Sleep {
        let at = self.now().saturating_add(to_micros(span));
        let handle = self.wheel.borrow_mut().set(at, None);
        if self.armed.get().is_none_or(|armed| at < armed) {
            self.arm(at);
        }
        Sleep {
            timers: self.clone(),
            handle,
        }
    }

    /// Time-outs that are set and have not ended.
    pub fn pending(&self) -> usize {
        self.wheel.borrow().len()
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
        // The tick after it has begun by then. What is beyond the clock's range is looked at in a day.
        let span = Duration::from_micros(at.saturating_add(TICK_MICROS).max(0) as u64);
        self.epoch
            .checked_add(span)
            .unwrap_or_else(|| Instant::now() + Duration::from_secs(86_400))
    }

    /// Wakes what is due; the loop's timer runs again at the next.
    fn on_fired(&self) -> TimeoutAction {
        let mut due = self.due.take();
        let next = {
            let mut wheel = self.wheel.borrow_mut();
            wheel.expire(self.now(), |waker| due.push(waker));
            wheel.next_due()
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

fn to_micros(span: Duration) -> i64 {
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
                if !waker
                    .as_ref()
                    .is_some_and(|known| known.will_wake(cx.waker()))
                {
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
