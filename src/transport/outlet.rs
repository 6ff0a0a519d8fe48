//! A consumer of one kind of effect, registered after the reducer has started.

use std::cell::RefCell;

use tokio::sync::mpsc;

/// A function that consumes the values of an outlet.
type Consumer<T> = Box<dyn Fn(T)>;

/// Passes values of one kind to a consumer, immediately and in order. Values that are passed before a
/// consumer is registered are dropped.
pub(super) struct Outlet<T>(RefCell<Option<Consumer<T>>>);

impl<T> Default for Outlet<T> {
    fn default() -> Outlet<T> {
        Outlet(RefCell::default())
    }
}

impl<T> Outlet<T> {
    /// Registers the consumer, which replaces an earlier consumer. The consumer must not use this outlet.
    pub(super) fn register(&self, consumer: impl Fn(T) + 'static) {
        *self.0.borrow_mut() = Some(Box::new(consumer));
    }

    /// Registers the channel of a task as the consumer, and returns the receiver for the task.
    pub(super) fn open_channel(&self) -> mpsc::UnboundedReceiver<T>
    where
        T: 'static,
    {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.register(move |value| {
            // The send fails only if the task has ended, and the task runs until the process exits.
            let _ = sender.send(value);
        });
        receiver
    }

    /// Passes a value to the consumer, if one is registered.
    pub(super) fn pass(&self, value: T) {
        if let Some(consumer) = self.0.borrow().as_ref() {
            consumer(value);
        }
    }
}
