use super::{AppendFile, append_patiently};
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// A file on a disk with little room, or whose syncs fail.
#[derive(Default)]
struct Disk {
    bytes: Vec<u8>,
    room_bytes: Rc<Cell<usize>>,
    syncs: usize,
    is_sync_broken: bool,
}

impl AppendFile for Disk {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let room = self.room_bytes.get().saturating_sub(self.bytes.len());
        self.bytes.extend_from_slice(&bytes[..room.min(bytes.len())]);
        if room < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn cut(&mut self, length_bytes: u64) -> io::Result<()> {
        self.bytes.truncate(usize::try_from(length_bytes).expect("short"));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.syncs += 1;
        if self.is_sync_broken { Err(ErrorKind::Other.into()) } else { Ok(()) }
    }
}

#[test]
fn a_full_disk_is_waited_for_and_leaves_no_torn_record() {
    let room_bytes = Rc::new(Cell::new(5));
    let mut disk =
        Disk { bytes: b"old".to_vec(), room_bytes: room_bytes.clone(), ..Disk::default() };
    let mut pauses = 0;
    let appended = append_patiently(&mut disk, 3, b"record", || {
        pauses += 1;
        if pauses == 3 {
            room_bytes.set(100);
        }
    });
    assert!(appended.is_ok());
    assert_eq!((disk.bytes.as_slice(), disk.syncs, pauses), (b"oldrecord".as_slice(), 1, 3));
}

#[test]
fn a_sync_that_fails_is_not_repeated() {
    let mut disk =
        Disk { room_bytes: Rc::new(Cell::new(100)), is_sync_broken: true, ..Disk::default() };
    assert!(append_patiently(&mut disk, 0, b"record", || ()).is_err());
    assert_eq!(disk.syncs, 1);
}
