//! Runs balancers for the simulator: reads batches of messages, prints the balancers' actions. Decides nothing.
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

/// Size of the buffer for the simulator's messages, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter stops before the end of its input.
#[derive(Debug, Error)]
enum ServeError {
    #[error("line {line}: {source}")]
    ReadLine { line: u64, source: io::Error },
    #[error("line {line}: {source}")]
    ParseLine { line: u64, source: MalformedField },
    #[error("reply: {0}")]
    WriteReply(#[source] io::Error),
}

/// Answers each frame of messages, until the input ends.
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
