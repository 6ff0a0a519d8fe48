//! The adapter as the simulator meets it: batches in, replies out, plain words on what is malformed.

use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter over some input; gives its exit code, standard output and standard error.
fn run(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    let input = input.to_owned();
    let writer = std::thread::spawn(move || {
        // A reader that stopped at a malformed line closes the pipe: not this test's concern.
        let _ = stdin.write_all(input.as_bytes());
    });
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the writer ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

const HELLO: &str = "HELLO\tprng=9\tzones=north,south\tzone=north\tbalancers=2\tclasses.count=2\t\
    classes.0.name=feed\tclasses.0.repeat=repeatable\tclasses.1.name=order\tclasses.1.repeat=once\t\
    limits.try-limit=3\tlimits.retry-after=true\tlimits.max-retry-after=1000.0\tlimits.cancel=true\t\
    an.unknown.key=7\taccounts=\tfamily-info.message-aim=100.0,null";

fn table(set: u32, backends: &[u32]) -> String {
    let items: String = backends
        .iter()
        .map(|b| format!("ITEM\tsite=north\tcell=0\tmode=in_service\tbackend={b}\tunits=1\n"))
        .collect();
    format!("TABLE\tset-id={set}\trows={}\n{items}", backends.len())
}

fn start(instance: u32, backends: &[u32]) -> String {
    format!(
        "TARGET_INSTANCE\ti={instance}\n{HELLO}\n{}SYNC\tset-id=0\tscope=C\tstamp=1\n",
        table(0, backends)
    )
}

fn ingress(word: &str) -> String {
    format!("INGRESS\txid={word}\tservice=feed\tentity=5\tgive-up-at=4000.5\n")
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(run("FRAME\tt=1.25\nOVER_TO_YOU\n"), (Some(0), "EOR\n".into(), "".into()));
    assert_eq!(run(""), (Some(0), "".into(), "".into()));
}

#[test]
fn a_request_is_sent_and_its_word_comes_back() {
    let input = format!("FRAME\tt=1000.0\n{}{}OVER_TO_YOU\n", start(3, &[71]), ingress("r-abc"));
    let (code, out, err) = run(&input);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert!(out.starts_with("SPEAKING\ti=3\nATTEMPT\txid=r-abc\tbackend=71\tpatience=2953."), "{out}");
    assert!(out.contains("\nSLEEP\tfrom-now=2953."), "{out}");
    assert!(out.ends_with("\nEOR\n"), "{out}");
}

#[test]
fn outcomes_lead_to_the_next_step() {
    let later = "FRAME\tt=1100.0\nTARGET_INSTANCE\ti=0\nRESULT\txid=r-a\twait-time=100\tleg=0\tending=4\t\
        last=0\tbackend=1\nOVER_TO_YOU\n";
    let input = format!("FRAME\tt=1000.0\n{}{}OVER_TO_YOU\n{later}", start(0, &[1, 2]), ingress("r-a"));
    let (code, out, _) = run(&input);
    let sends = out.matches("ATTEMPT\txid=r-a\t").count();
    assert_eq!((code, sends), (Some(0), 2), "{out}");
    assert!(out.contains("backend=1\t") && out.contains("backend=2\t"), "{out}");
}

#[test]
fn a_list_number_is_read_as_it_stands_at_that_moment() {
    let input = format!(
        "FRAME\tt=1000.0\n{}{}TARGET_INSTANCE\ti=1\n{HELLO}\nSYNC\tset-id=0\tscope=C\tstamp=2\n\
         {}TARGET_INSTANCE\ti=0\n{}OVER_TO_YOU\n",
        start(0, &[5]),
        table(0, &[6]),
        ingress("r-b"),
        ingress("r-a")
    );
    let (_, out, _) = run(&input);
    assert!(out.contains("ATTEMPT\txid=r-a\tbackend=5"), "{out}");
    assert!(out.contains("ATTEMPT\txid=r-b\tbackend=6"), "{out}");
}

#[test]
fn a_killed_instance_forgets_and_starts_anew_in_the_same_batch() {
    let input = format!(
        "FRAME\tt=1000.0\n{}{}OVER_TO_YOU\nFRAME\tt=1001.0\nTARGET_INSTANCE\ti=0\nKILL\n{}\
         RESULT\txid=r-a\twait-time=1\tleg=0\tending=5\tlast=0\tbackend=1\n{}OVER_TO_YOU\n",
        start(0, &[1]),
        ingress("r-a"),
        start(0, &[2]),
        ingress("r-b")
    );
    let (code, out, err) = run(&input);
    let second = out.split("EOR\n").nth(1).unwrap_or("");
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert!(second.contains("ATTEMPT\txid=r-b\tbackend=2") && !second.contains("r-a"), "{out}");
}

#[test]
fn instances_act_alike_in_one_process_and_in_several() {
    let part = |instance: u32| {
        let requests: String = (0..40).map(|i| ingress(&format!("r-{instance}x{i}"))).collect();
        format!("{}{requests}", start(instance, &[1, 2, 3]))
    };
    let batch = |parts: &str| run(&format!("FRAME\tt=1000.0\n{parts}OVER_TO_YOU\n")).1;
    let together = batch(&format!("{}{}", part(0), part(1)));
    let apart = format!("{}{}", batch(&part(0)).replace("EOR\n", ""), batch(&part(1)));
    assert_eq!(together, apart);
}

#[test]
fn a_long_batch_is_answered_whole() {
    let requests: String = (0..20_000).map(|i| ingress(&format!("r-{i}"))).collect();
    let input = format!("FRAME\tt=1000.0\n{}{requests}OVER_TO_YOU\n", start(0, &[1, 2, 3]));
    let (code, out, _) = run(&input);
    let answered = out.lines().filter(|l| l.starts_with("ATTEMPT") || l.starts_with("DENY")).count();
    assert_eq!((code, answered), (Some(0), 20_000));
}

#[test]
fn unknown_messages_and_events_are_skipped() {
    let input = format!(
        "FRAME\tt=1000.0\n{}MARVEL\tx=1\nINBOX\tsender=1\tbody=-\nABORTED\txid=r-never\n\
         TARGET_INSTANCE\ti=9\n{}OVER_TO_YOU\n",
        start(0, &[1]),
        ingress("r-lost")
    );
    assert_eq!(run(&input), (Some(0), "EOR\n".into(), "".into()));
}

#[test]
fn a_malformed_line_is_named_with_its_field() {
    for (line, complaint) in [
        ("FRAME\tt=soon", "line 2: FRAME: cannot read field 't' from 'soon'"),
        ("FRAME\tt=-1", "line 2: FRAME: cannot read field 't' from '-1'"),
        ("INGRESS\txid=r-1\tservice=feed", "line 2: INGRESS: field 'give-up-at' is missing"),
        ("SYNC\tset-id=0\tscope=Q", "line 2: SYNC: cannot read field 'scope' from 'Q'"),
        ("TABLE\tset-id=16\trows=0", "line 2: TABLE: cannot read field 'set-id' from '16'"),
        ("RESULT\txid=r\tleg=0\tending=8", "line 2: RESULT: cannot read field 'ending' from '8'"),
        ("ITEM\tbackend=1\tmode=odd", "line 2: ITEM: cannot read field 'mode' from 'odd'"),
        ("HELLO\tprng=1\tbalancers=many", "line 2: HELLO: cannot read field 'balancers' from 'many'"),
    ] {
        let (code, _, err) = run(&format!("FRAME\tt=1.0\n{line}\nOVER_TO_YOU\n"));
        assert_eq!((code, err.trim_end()), (Some(1), format!("simulator-adapter: {complaint}").as_str()));
    }
}
