//! Runs the adapter as the simulator does: writes frames of messages to its input, and checks its replies and
//! its errors for malformed lines.

use std::io::Write;
use std::process::{Command, Stdio};

/// Exit code and output of one run of the adapter.
#[derive(Debug, PartialEq)]
struct Run {
    exit_code: Option<i32>,
    output: String,
    errors: String,
}

impl Run {
    /// Returns the result of a run that succeeds with this output and without errors.
    fn successful(output: &str) -> Run {
        Run { exit_code: Some(0), output: output.to_owned(), errors: String::new() }
    }
}

/// Runs the adapter with this input.
fn run_adapter(input: &str) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    let input = input.to_owned();
    let writer = std::thread::spawn(move || {
        // Writing fails if the adapter exits at a malformed line. The tests check its exit code for that.
        let _ = stdin.write_all(input.as_bytes());
    });
    let output = child.wait_with_output().expect("the adapter exits");
    writer.join().expect("the writer thread finishes");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the adapter prints UTF-8");
    Run { exit_code: output.status.code(), output: text(output.stdout), errors: text(output.stderr) }
}

const HELLO: &str = "HELLO\tprng=9\tzones=north,south\tzone=north\tbalancers=2\tclasses.count=2\t\
    classes.0.name=feed\tclasses.0.repeat=repeatable\tclasses.1.name=order\tclasses.1.repeat=once\t\
    limits.try-limit=3\tlimits.retry-after=true\tlimits.max-retry-after=1000.0\tlimits.cancel=true\t\
    an.unknown.key=7\taccounts=\tfamily-info.message-aim=100.0,null";

/// Returns the messages of an endpoint set in which all servers are in service.
fn endpoint_set(set: u32, servers: &[u32]) -> String {
    let entry = |server| format!("ITEM\tsite=north\tcell=0\tmode=in_service\tbackend={server}\tunits=1\n");
    let entries: String = servers.iter().map(entry).collect();
    format!("TABLE\tset-id={set}\trows={}\n{entries}", servers.len())
}

/// Returns the messages that start an instance with these servers.
fn start_instance(instance: u32, servers: &[u32]) -> String {
    format!(
        "TARGET_INSTANCE\ti={instance}\n{HELLO}\n{}SYNC\tset-id=0\tscope=C\tstamp=1\n",
        endpoint_set(0, servers)
    )
}

/// Returns the message of a new request.
fn new_request(name: &str) -> String {
    format!("INGRESS\txid={name}\tservice=feed\tentity=5\tgive-up-at=4000.5\n")
}

#[test]
fn answers_an_empty_frame_with_an_empty_reply() {
    assert_eq!(run_adapter("FRAME\tt=1.25\nOVER_TO_YOU\n"), Run::successful("EOR\n"));
    assert_eq!(run_adapter(""), Run::successful(""));
}

#[test]
fn starts_an_attempt_under_the_name_of_the_request() {
    let input = format!("FRAME\tt=1000.0\n{}{}OVER_TO_YOU\n", start_instance(3, &[71]), new_request("r-abc"));
    let Run { exit_code, output, errors } = run_adapter(&input);
    assert_eq!((exit_code, errors.as_str()), (Some(0), ""));
    assert!(output.starts_with("SPEAKING\ti=3\nATTEMPT\txid=r-abc\tbackend=71\tpatience=2953."), "{output}");
    assert!(output.contains("\nSLEEP\tfrom-now=2953."), "{output}");
    assert!(output.ends_with("\nEOR\n"), "{output}");
}

#[test]
fn retries_at_another_server_after_a_failed_attempt() {
    let second_frame =
        "FRAME\tt=1100.0\nTARGET_INSTANCE\ti=0\nRESULT\txid=r-a\twait-time=100\tleg=0\tending=4\t\
        last=0\tbackend=1\nOVER_TO_YOU\n";
    let input = format!(
        "FRAME\tt=1000.0\n{}{}OVER_TO_YOU\n{second_frame}",
        start_instance(0, &[1, 2]),
        new_request("r-a")
    );
    let Run { exit_code, output, .. } = run_adapter(&input);
    let attempts = output.matches("ATTEMPT\txid=r-a\t").count();
    assert_eq!((exit_code, attempts), (Some(0), 2), "{output}");
    assert!(output.contains("backend=1\t") && output.contains("backend=2\t"), "{output}");
}

#[test]
fn reads_an_endpoint_set_as_it_is_when_it_is_synced() {
    let input = format!(
        "FRAME\tt=1000.0\n{}{}TARGET_INSTANCE\ti=1\n{HELLO}\nSYNC\tset-id=0\tscope=C\tstamp=2\n\
         {}TARGET_INSTANCE\ti=0\n{}OVER_TO_YOU\n",
        start_instance(0, &[5]),
        endpoint_set(0, &[6]),
        new_request("r-b"),
        new_request("r-a")
    );
    let output = run_adapter(&input).output;
    assert!(output.contains("ATTEMPT\txid=r-a\tbackend=5"), "{output}");
    assert!(output.contains("ATTEMPT\txid=r-b\tbackend=6"), "{output}");
}

#[test]
fn restarts_a_killed_instance_without_its_requests_in_the_same_frame() {
    let input = format!(
        "FRAME\tt=1000.0\n{}{}OVER_TO_YOU\nFRAME\tt=1001.0\nTARGET_INSTANCE\ti=0\nKILL\n{}\
         RESULT\txid=r-a\twait-time=1\tleg=0\tending=5\tlast=0\tbackend=1\n{}OVER_TO_YOU\n",
        start_instance(0, &[1]),
        new_request("r-a"),
        start_instance(0, &[2]),
        new_request("r-b")
    );
    let Run { exit_code, output, errors } = run_adapter(&input);
    let second_reply = output.split("EOR\n").nth(1).unwrap_or("");
    assert_eq!((exit_code, errors.as_str()), (Some(0), ""));
    assert!(
        second_reply.contains("ATTEMPT\txid=r-b\tbackend=2") && !second_reply.contains("r-a"),
        "{output}"
    );
}

#[test]
fn gives_instances_the_same_replies_in_one_process_and_in_several() {
    let messages = |instance: u32| {
        let requests: String = (0..40).map(|i| new_request(&format!("r-{instance}x{i}"))).collect();
        format!("{}{requests}", start_instance(instance, &[1, 2, 3]))
    };
    let reply = |messages: &str| run_adapter(&format!("FRAME\tt=1000.0\n{messages}OVER_TO_YOU\n")).output;
    let in_one_process = reply(&format!("{}{}", messages(0), messages(1)));
    let in_two_processes = format!("{}{}", reply(&messages(0)).replace("EOR\n", ""), reply(&messages(1)));
    assert_eq!(in_one_process, in_two_processes);
}

#[test]
fn answers_every_request_of_a_long_frame() {
    let requests: String = (0..20_000).map(|i| new_request(&format!("r-{i}"))).collect();
    let input = format!("FRAME\tt=1000.0\n{}{requests}OVER_TO_YOU\n", start_instance(0, &[1, 2, 3]));
    let Run { exit_code, output, .. } = run_adapter(&input);
    let is_answer = |line: &&str| line.starts_with("ATTEMPT") || line.starts_with("DENY");
    let answered = output.lines().filter(is_answer).count();
    assert_eq!((exit_code, answered), (Some(0), 20_000));
}

#[test]
fn skips_unknown_messages_requests_and_instances() {
    let input = format!(
        "FRAME\tt=1000.0\n{}MARVEL\tx=1\nINBOX\tsender=1\tbody=-\nABORTED\txid=r-never\n\
         TARGET_INSTANCE\ti=9\n{}OVER_TO_YOU\n",
        start_instance(0, &[1]),
        new_request("r-lost")
    );
    assert_eq!(run_adapter(&input), Run::successful("EOR\n"));
}

#[test]
fn reports_a_malformed_line_with_its_field() {
    for (line, expected_error) in [
        ("FRAME\tt=soon", "line 2: FRAME: cannot read field 't' from 'soon'"),
        ("FRAME\tt=-1", "line 2: FRAME: cannot read field 't' from '-1'"),
        ("INGRESS\txid=r-1\tservice=feed", "line 2: INGRESS: field 'give-up-at' is missing"),
        ("SYNC\tset-id=0\tscope=Q", "line 2: SYNC: cannot read field 'scope' from 'Q'"),
        ("TABLE\tset-id=16\trows=0", "line 2: TABLE: cannot read field 'set-id' from '16'"),
        ("RESULT\txid=r\tleg=0\tending=8", "line 2: RESULT: cannot read field 'ending' from '8'"),
        ("ITEM\tbackend=1\tmode=odd", "line 2: ITEM: cannot read field 'mode' from 'odd'"),
        ("HELLO\tprng=1\tbalancers=many", "line 2: HELLO: cannot read field 'balancers' from 'many'"),
    ] {
        let Run { exit_code, errors, .. } = run_adapter(&format!("FRAME\tt=1.0\n{line}\nOVER_TO_YOU\n"));
        assert_eq!(
            (exit_code, errors.trim_end()),
            (Some(1), format!("simulator-adapter: {expected_error}").as_str())
        );
    }
}
