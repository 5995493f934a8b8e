package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"cairntiller/internal/decimal"
)

// ioBufferSize is the size of the input and output buffers; most batches fit.
const ioBufferSize = 1 << 20

// server is the state of one process: its instances, the stored endpoint lists and the current batch.
type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	instances map[string]*instance
	lists     [maxLists][][]byte // lines of each endpoint list, by its number

	line       int // number of the current input line, for errors
	lineBuffer []byte
	fields     [][]byte // of the current line; valid until the next one is read
	reader     fieldReader

	inBatch bool
	batch   string // number of the current batch, as received
	now     int64  // time of the batch, us
	reply   []byte // actions of the batch so far
}

// Serve answers batches until the end of the input. The error is an *InputError if the input can't be parsed.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		in:        bufio.NewReaderSize(in, ioBufferSize),
		out:       bufio.NewWriterSize(out, ioBufferSize),
		instances: map[string]*instance{},
	}
	s.reader.server = s
	for {
		line, err := s.readLine()
		if errors.Is(err, io.EOF) {
			if s.inBatch {
				return s.inputError("eob", "input ends within a batch")
			}
			return nil
		}
		if err != nil {
			return err
		}
		s.split(line)
		if err := s.handleLine(); err != nil {
			return err
		}
	}
}

// readLine returns the next line without its terminator, valid until the next call. The last line may lack a
// terminator.
func (s *server) readLine() ([]byte, error) {
	s.lineBuffer = s.lineBuffer[:0]
	for {
		part, err := s.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			s.lineBuffer = append(s.lineBuffer, part...)
			continue
		}
		if len(s.lineBuffer) > 0 {
			s.lineBuffer = append(s.lineBuffer, part...)
			part = s.lineBuffer
		}
		if err != nil && (!errors.Is(err, io.EOF) || len(part) == 0) {
			return nil, err
		}
		s.line++
		return bytes.TrimRight(part, "\r\n"), nil
	}
}

func (s *server) split(line []byte) {
	s.fields = s.fields[:0]
	for len(line) > 0 {
		field, rest, _ := bytes.Cut(line, []byte(" "))
		s.fields = append(s.fields, field)
		line = rest
	}
}

func (s *server) handleLine() error {
	if len(s.fields) == 0 {
		return s.inputError("message", "empty line")
	}
	if !s.inBatch {
		return s.beginBatch()
	}
	switch string(s.fields[0]) {
	case "eob":
		return s.endBatch()
	case "inventory":
		return s.readEndpointList()
	}
	return s.handleEvent()
}

func (s *server) beginBatch() (err error) {
	if string(s.fields[0]) != "clock" || len(s.fields) < 3 {
		return s.inputError("clock", "batch does not start with a clock line")
	}
	if s.now, err = decimal.Micros(s.fields[1]); err != nil {
		return s.inputError("clock", err.Error())
	}
	s.batch = string(s.fields[2])
	s.inBatch = true
	return nil
}

func (s *server) endBatch() error {
	s.reply = append(s.reply, "finished "...)
	s.reply = append(s.reply, s.batch...)
	s.reply = append(s.reply, '\n')
	if _, err := s.out.Write(s.reply); err != nil {
		return err
	}
	s.reply = s.reply[:0]
	s.inBatch = false
	return s.out.Flush()
}

// handleEvent handles an event of one instance. Events of instances that are not open or have crashed are ignored.
func (s *server) handleEvent() error {
	fields := s.fields
	event, known := events[string(fields[0])]
	if !known {
		return s.inputError("message", fmt.Sprintf("unknown event %q", fields[0]))
	}
	if len(fields) < event.minFields {
		return s.inputError(string(fields[0]), "too few fields")
	}
	name := string(fields[1])
	switch string(fields[0]) {
	case "open_instance":
		return s.openInstance(name, fields)
	case "detach":
		delete(s.instances, name)
		return nil
	}
	i := s.instances[name]
	if i == nil || i.crashed {
		return nil
	}
	return i.deliver(event.handle, fields)
}

// InputError names the line and the field of the input that can't be parsed, and the reason.
type InputError struct {
	Line          int // starting at 1
	Field, Reason string
}

// Error implements error.
func (e *InputError) Error() string {
	return fmt.Sprintf("line %d, field %s: %s", e.Line, e.Field, e.Reason)
}

// inputError returns an InputError for the line that was read last.
func (s *server) inputError(field, reason string) error {
	return &InputError{s.line, field, reason}
}
