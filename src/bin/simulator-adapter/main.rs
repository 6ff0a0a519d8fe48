//! Runs balancers for the simulator, which calls them instances. Each instance uses the decision module of
//! the daemon.
//!
//! The adapter reads frames of messages from standard input, passes each message to the instance that it is
//! for, and prints the actions of all instances as the reply to the frame. It makes no decisions of its own.
#![forbid(unsafe_code)]

mod adapter;
mod configuration;
mod instance;
mod line;
mod message;
mod reply;
mod values;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use adapter::Adapter;
use line::{Line, MalformedField};
use message::Message;
use thiserror::Error;

/// Size of the input buffer for the simulator's messages.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Error that stops the adapter before the end of its input.
#[derive(Debug, Error)]
enum ServeError {
    #[error("line {line}: cannot read the input: {source}")]
    ReadLine { line: u64, source: io::Error },
    #[error("line {line}: {source}")]
    ParseLine { line: u64, source: MalformedField },
    #[error("cannot write the reply: {0}")]
    WriteReply(#[source] io::Error),
}

/// Answers each frame of messages until the input ends.
///
/// # Errors
///
/// If reading or writing fails, or for the first line with a malformed field.
fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), ServeError> {
    let mut adapter = Adapter::default();
    let mut text = String::new();
    let mut reply = Vec::new();
    for line in 1u64.. {
        text.clear();
        if input.read_line(&mut text).map_err(|source| ServeError::ReadLine { line, source })? == 0 {
            break;
        }
        let fields = Line::split(text.trim_end_matches(['\n', '\r']));
        let message = message::parse(&fields).map_err(|source| ServeError::ParseLine { line, source })?;
        let is_frame_complete = matches!(message, Message::FrameEnded);
        adapter.handle_message(message, &mut reply);
        if is_frame_complete {
            output.write_all(&reply).and_then(|()| output.flush()).map_err(ServeError::WriteReply)?;
            reply.clear();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
