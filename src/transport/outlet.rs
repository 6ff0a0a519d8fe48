//! A consumer of one kind of effect, registered after the reducer has started.

use std::cell::RefCell;

use tokio::sync::mpsc;

/// What takes the values of an outlet.
type Consumer<T> = Box<dyn Fn(T)>;

/// Passes values of one kind to a consumer, at once and in order. Values that come before a consumer is
/// registered are dropped.
pub(super) struct Outlet<T>(RefCell<Option<Consumer<T>>>);

impl<T> Default for Outlet<T> {
    fn default() -> Outlet<T> {
        Outlet(RefCell::default())
    }
}

impl<T> Outlet<T> {
    /// Registers the consumer, in the place of an earlier one. It must not use this outlet.
    pub(super) fn register(&self, consumer: impl Fn(T) + 'static) {
        *self.0.borrow_mut() = Some(Box::new(consumer));
    }

    /// Registers the channel of a task as the consumer; returns the task's end.
    pub(super) fn open_channel(&self) -> mpsc::UnboundedReceiver<T>
    where
        T: 'static,
    {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.register(move |value| {
            // The task ends only with this process.
            let _ = sender.send(value);
        });
        receiver
    }

    /// Passes a value to the consumer.
    pub(super) fn pass(&self, value: T) {
        if let Some(consumer) = self.0.borrow().as_ref() {
            consumer(value);
        }
    }
}
