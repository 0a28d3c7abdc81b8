/*
 * The configuration in force, with concurrent operators, nodes that read the log,
 * expiry of old records, and exchange of versions between entry VMs.
 *
 * Each NO_... macro disables one safeguard.
 */
#define NODES 3
#define LENGTH 5
#define PUBLISH 1
#define REPEAT 2

/* The stream: kind of each record, its base (PUBLISH) or version (REPEAT), and document. */
byte kind[LENGTH];
byte base[LENGTH];
byte document[LENGTH];
byte length = 0;
byte first_kept = 0;		/* oldest record still kept */

/* Ground truth: what is in force for a reader of the whole stream. */
byte truth = 0;
byte truth_document = 0;
byte history[LENGTH + 1];	/* document of each version that was in force */

byte cursor[NODES];
byte draft[NODES];		/* version by the records read so far */
byte draft_document[NODES];
byte version[NODES];		/* version in force on the node */
byte in_force[NODES];
byte next_document = 1;

/* A node activates a version only when it has read the whole stream. */
#ifdef NO_CATCH_UP
#define CAUGHT_UP(i) 1
#else
#define CAUGHT_UP(i) (cursor[i] == length)
#endif
#ifdef NO_GROWTH
#define NEWER(a, b) ((a) != (b))
#else
#define NEWER(a, b) ((a) > (b))
#endif

inline apply_record(v, d, at)
{
	if
#ifdef NO_BASE
	:: kind[at] == PUBLISH -> v = base[at] + 1; d = document[at]
#else
	:: kind[at] == PUBLISH && base[at] == v -> v++; d = document[at]
#endif
	:: kind[at] == REPEAT && base[at] >= v -> v = base[at]; d = document[at]
	:: else
	fi
}

inline append_record(k, b, d)
{
	kind[length] = k;
	base[length] = b;
	document[length] = d;
	apply_record(truth, truth_document, length);
	history[truth] = truth_document;
	length++
}

/* The version in force on a node never decreases, and its document is the same everywhere. */
inline activate(i, v, d)
{
	assert(v >= version[i]);
	version[i] = v;
	in_force[i] = d;
	assert(v <= truth);
	assert(v == 0 || d == history[v])
}

proctype Node(byte i)
{
	byte j;
	do
	/* Reads one record, skipping those that expired unread. */
	:: atomic { cursor[i] < length ->
		if
		:: cursor[i] < first_kept -> cursor[i] = first_kept
		:: else
		fi;
		if
		:: cursor[i] < length -> apply_record(draft[i], draft_document[i], cursor[i]); cursor[i]++
		:: else
		fi;
		if
		:: CAUGHT_UP(i) && NEWER(draft[i], version[i]) -> activate(i, draft[i], draft_document[i])
		:: else
		fi }

	/* Adopts a newer version from another node. */
	:: atomic { j = (i + 1) % NODES;
		if
		:: NEWER(version[j], version[i]) && version[j] > 0 ->
			activate(i, version[j], in_force[j]);
			if
			:: draft[i] < version[i] -> draft[i] = version[i]; draft_document[i] = in_force[i]
			:: else
			fi
		:: else
		fi;
		j = 0 }

	/* An operator publishes a document based on the version in force here. */
	:: atomic { length < LENGTH && next_document < 4 ->
		append_record(PUBLISH, version[i], next_document); next_document++ }

	/* Repeats the version in force here, so that it outlives the expiry of its record. */
	:: atomic { version[i] > 0 && length < LENGTH -> append_record(REPEAT, version[i], in_force[i]) }

	/* Node 0 restarts without any state. */
	:: atomic { i == 0 && cursor[0] > 0 ->
		cursor[0] = 0; version[0] = 0; in_force[0] = 0; draft[0] = 0; draft_document[0] = 0 }
	od
}

/* Records expire, but a repeat of the version in force is always kept. */
proctype Expiry()
{
	byte k;
	do
	:: atomic { first_kept < length ->
		k = first_kept + 1;
		do
		:: k < length && kind[k] == REPEAT && base[k] == truth -> first_kept++; break
		:: k < length && !(kind[k] == REPEAT && base[k] == truth) -> k++
		:: k >= length -> break
		od;
		k = 0 }
	od
}

init
{
	atomic { run Node(0); run Node(1); run Node(2); run Expiry() }
}
